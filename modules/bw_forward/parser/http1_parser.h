#ifndef BW_FORWARD_PARSER_HTTP1_PARSER_H
#define BW_FORWARD_PARSER_HTTP1_PARSER_H

#include "bw_core/ids/units.h"
#include "bw_http/messages/http_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bw {

/// The start line and header fields of an HTTP/1 message.
struct http1_head {
  /// Set in requests only.
  std::string Method;
  /// The request target as received: path and query.
  std::string Target;
  /// Set in responses only.
  int Status = 0;
  http_headers Headers;
  std::optional<std::uint64_t> ContentLength;
  bool IsChunked = false;
  /// True if the connection stays open after this message.
  bool KeepsConnection = true;
  /// HTTP/1.0, which has no chunked transfer coding.
  bool IsHttp10 = false;
};

enum class http1_side : std::uint8_t { Request, Response };

/// The result of parsing a block of bytes.
enum class parse_status : std::uint8_t {
  NeedsMore,  ///< All bytes were consumed; the message is incomplete.
  Complete,   ///< A message ended; bytes after it were not consumed.
  Malformed,  ///< The bytes are not valid HTTP/1 (RFC 9112), cannot be
              ///< delimited without doubt, or are mostly framing.
  HeadTooBig, ///< The head exceeds the limit.
};

struct parse_result {
  parse_status Status = parse_status::NeedsMore;
  std::size_t Taken = 0;
};

struct http1_parser_hooks {
  /// Called after the head. Return false if the response has no body, such as
  /// a response to HEAD.
  std::function<bool(http1_head)> OnHead = [](const http1_head &) {
    return true;
  };
  std::function<void(std::string_view)> OnBody = [](std::string_view) {};
};

/// Incremental parser for one direction of an HTTP/1 connection. Parses any
/// number of consecutive messages and stops at the end of each one. A message
/// with a malformed head reaches no hook. Trailer
/// fields count towards the head limit and are dropped. The hooks must not
/// destroy the parser.
class http1_parser {
public:
  http1_parser(http1_side Side, http1_parser_hooks Hooks);
  ~http1_parser();
  http1_parser(const http1_parser &) = delete;
  http1_parser &operator=(const http1_parser &) = delete;

  void setHeadLimit(byte_count Limit);

  parse_result feed(std::string_view Bytes);
  /// Signals an orderly end of the connection. Returns Complete if this ended a
  /// message without an explicit length.
  parse_status finish();

  /// True while a message has been started and is not complete.
  bool isInMessage() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
