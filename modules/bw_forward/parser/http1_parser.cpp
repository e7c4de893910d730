#include "bw_forward/parser/http1_parser.h"

#include "bw_forward/parser/chunk_grammar.h"
#include "bw_http/messages/head_grammar.h"

#include <http_parser.h>

#include <limits>
#include <utility>

using namespace bw;

namespace {

// Bytes of a message outside of its body, such as chunk extensions, are limited
// to this multiple of the head limit and, for each byte of the body, to that of
// a chunk of one byte with a padded length.
constexpr std::size_t FramingShareOfHeadLimit = 2;
constexpr std::size_t FramingPerBodyByte = 16;

head_grammar grammarOf(http1_side Side) {
  return head_grammar(Side == http1_side::Request ? head_start::RequestLine
                                                  : head_start::StatusLine);
}

} // namespace

struct http1_parser::implementation {
  implementation(http1_side Side, http1_parser_hooks GivenHooks)
      : Side(Side), Hooks(std::move(GivenHooks)), HeadGrammar(grammarOf(Side)) {
    http_parser_init(&Parser, Side == http1_side::Request ? HTTP_REQUEST
                                                          : HTTP_RESPONSE);
    Parser.data = this;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_message_begin = &onMessageBegin;
    Callbacks.on_url = &onUrl;
    Callbacks.on_header_field = &onHeaderField;
    Callbacks.on_header_value = &onHeaderValue;
    Callbacks.on_headers_complete = &onHeadersComplete;
    Callbacks.on_body = &onBody;
    Callbacks.on_message_complete = &onMessageComplete;
  }

  static implementation &of(http_parser *Parser) {
    return *static_cast<implementation *>(Parser->data);
  }

  /// What is known of the message being parsed. Replaced as a whole when the
  /// next one begins, so that nothing of a message outlives it.
  struct message_state {
    http1_head Head;
    /// The field being parsed.
    std::string Field;
    std::string Value;
    bool HasValue = false;
    /// The head is complete; further fields are trailer fields.
    bool IsHeadComplete = false;
    /// The message has a body, and it is chunked.
    bool IsChunked = false;
    std::size_t HeadSize = 0;
    std::size_t BodySize = 0;
    /// All bytes outside of the body.
    std::size_t FramingSize = 0;
  };

  static int onMessageBegin(http_parser *Parser) {
    implementation &Self = of(Parser);
    Self.Message = {};
    Self.IsInMessage = true;
    return 0;
  }

  // A non-zero result makes http_parser stop with an error.
  int addToHeadSize(std::size_t Size) {
    Message.HeadSize += Size;
    IsHeadTooBig = Message.HeadSize > HeadLimit;
    return IsHeadTooBig ? 1 : 0;
  }

  static int onUrl(http_parser *Parser, const char *Data, std::size_t Size) {
    of(Parser).Message.Head.Target.append(Data, Size);
    return of(Parser).addToHeadSize(Size);
  }

  // Trailer fields are counted and dropped: they arrive after the head was
  // passed on.
  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    implementation &Self = of(Parser);
    if (!Self.Message.IsHeadComplete) {
      if (Self.Message.HasValue)
        Self.addHeader();
      Self.Message.Field.append(Data, Size);
    }
    return Self.addToHeadSize(Size);
  }

  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    implementation &Self = of(Parser);
    if (!Self.Message.IsHeadComplete) {
      Self.Message.HasValue = true;
      Self.Message.Value.append(Data, Size);
    }
    return Self.addToHeadSize(Size);
  }

  void addHeader() {
    // ": " and CR LF.
    constexpr std::size_t Separators = 4;
    Message.HeadSize += Separators;
    Message.Head.Headers.add(std::exchange(Message.Field, {}),
                             std::string(trimFieldValue(Message.Value)));
    Message.Value.clear();
    Message.HasValue = false;
  }

  static int onHeadersComplete(http_parser *Parser) {
    implementation &Self = of(Parser);
    if (Self.Message.HasValue || !Self.Message.Field.empty())
      Self.addHeader();
    Self.Message.IsHeadComplete = true;
    http1_head &Head = Self.Message.Head;
    Head.Status = static_cast<int>(Parser->status_code);
    if (Parser->type == HTTP_REQUEST)
      Head.Method = http_method_str(static_cast<http_method>(Parser->method));
    if (Parser->content_length != std::numeric_limits<std::uint64_t>::max())
      Head.ContentLength = Parser->content_length;
    Head.IsChunked = (Parser->flags & F_CHUNKED) != 0;
    Head.KeepsConnection = http_should_keep_alive(Parser) != 0;
    Head.IsHttp10 = Parser->http_major == 1 && Parser->http_minor == 0;
    if (findFramingFault(Head.Headers, Head.IsHttp10))
      return StopParsing;
    const bool IsBodiless =
        Self.Side == http1_side::Response && isBodilessStatus(Head.Status);
    Self.Message.IsChunked = Head.IsChunked;
    if (Self.Hooks.OnHead(std::move(Head)) && !IsBodiless)
      return 0;
    Self.Message.IsChunked = false;
    return SkipBody;
  }

  /// Checks the part of a block that belongs to the head, before http_parser
  /// passes it on. Returns its size; nothing if it breaks the grammar.
  std::optional<std::size_t> checkHead(std::string_view Block) {
    if (HeadGrammar.state() == head_state::Complete)
      return 0;
    const std::size_t Size = HeadGrammar.feed(Block);
    if (HeadGrammar.state() == head_state::Malformed)
      return std::nullopt;
    return Size;
  }

  /// Checks the framing of the part of a block behind the head.
  bool checkBody(std::string_view Block) {
    return !Message.IsChunked || Chunks.accepts(Block);
  }

  void beginMessage() {
    Message = {};
    HeadGrammar = grammarOf(Side);
    Chunks = {};
  }

  static int onBody(http_parser *Parser, const char *Data, std::size_t Size) {
    of(Parser).Message.BodySize += Size;
    of(Parser).BodyOfBlock += Size;
    of(Parser).Hooks.OnBody({Data, Size});
    return 0;
  }

  /// Adds a block of bytes of the message, and returns false if too many of
  /// them are framing.
  bool addToFraming(std::size_t BlockSize) {
    Message.FramingSize += BlockSize - std::exchange(BodyOfBlock, 0);
    return Message.FramingSize <= FramingShareOfHeadLimit * HeadLimit +
                                      FramingPerBodyByte * Message.BodySize;
  }

  static int onMessageComplete(http_parser *Parser) {
    of(Parser).IsInMessage = false;
    of(Parser).IsComplete = true;
    http_parser_pause(Parser, 1);
    return 0;
  }

  // Results of the hook of http_parser that follows the head.
  static constexpr int SkipBody = 1;
  static constexpr int StopParsing = -1;

  const http1_side Side;
  http1_parser_hooks Hooks;
  http_parser Parser{};
  http_parser_settings Callbacks{};
  message_state Message;
  head_grammar HeadGrammar;
  chunk_grammar Chunks;
  bool IsInMessage = false;
  bool IsComplete = false;
  bool IsHeadTooBig = false;
  /// Bytes of the body in the block that is being parsed.
  std::size_t BodyOfBlock = 0;
  std::size_t HeadLimit = kibibytes(64).value();
};

http1_parser::http1_parser(http1_side Side, http1_parser_hooks Hooks)
    : Implementation(std::make_unique<implementation>(Side, std::move(Hooks))) {
}

http1_parser::~http1_parser() = default;

void http1_parser::setHeadLimit(byte_count Limit) {
  Implementation->HeadLimit = Limit.value();
}

parse_result http1_parser::feed(std::string_view Bytes) {
  // http_parser treats an empty buffer as the end of the connection.
  if (Bytes.empty())
    return {};
  implementation &Self = *Implementation;
  Self.IsComplete = false;
  const std::optional<std::size_t> HeadPart = Self.checkHead(Bytes);
  if (!HeadPart)
    return {.Status = parse_status::Malformed, .Taken = 0};
  const std::size_t Taken = http_parser_execute(&Self.Parser, &Self.Callbacks,
                                                Bytes.data(), Bytes.size());
  if (Self.IsHeadTooBig)
    return {.Status = parse_status::HeadTooBig, .Taken = Taken};
  if (!Self.addToFraming(Taken) || Taken < *HeadPart ||
      !Self.checkBody(Bytes.substr(*HeadPart, Taken - *HeadPart)))
    return {.Status = parse_status::Malformed, .Taken = Taken};
  if (Self.IsComplete) {
    Self.beginMessage();
    if (HTTP_PARSER_ERRNO(&Self.Parser) == HPE_PAUSED)
      http_parser_pause(&Self.Parser, 0);
    // The bytes after an upgrade belong to another protocol.
    return {.Status = Self.Parser.upgrade != 0 ? parse_status::Malformed
                                               : parse_status::Complete,
            .Taken = Taken};
  }
  if (HTTP_PARSER_ERRNO(&Self.Parser) != HPE_OK || Taken != Bytes.size())
    return {.Status = parse_status::Malformed, .Taken = Taken};
  return {.Status = parse_status::NeedsMore, .Taken = Taken};
}

parse_status http1_parser::finish() {
  implementation &Self = *Implementation;
  if (HTTP_PARSER_ERRNO(&Self.Parser) != HPE_OK)
    return parse_status::Malformed;
  Self.IsComplete = false;
  http_parser_execute(&Self.Parser, &Self.Callbacks, nullptr, 0);
  if (Self.IsComplete)
    return parse_status::Complete;
  return Self.IsInMessage ? parse_status::Malformed : parse_status::NeedsMore;
}

bool http1_parser::isInMessage() const { return Implementation->IsInMessage; }
