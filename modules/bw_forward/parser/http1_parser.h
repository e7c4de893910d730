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

/// Start line and header fields of one message.
struct http1_head {
  /// Requests only.
  std::string Method;
  /// As received: path and query.
  std::string Target;
  /// Responses only.
  int Status = 0;
  http_headers Headers;
  std::optional<std::uint64_t> ContentLength;
  bool IsChunked = false;
  /// The sender keeps the connection open after this message.
  bool KeepsConnection = true;
  /// HTTP/1.0, which knows no chunks.
  bool IsHttp10 = false;
};

enum class http1_side : std::uint8_t { Request, Response };

/// What the parser made of the bytes.
enum class parse_status : std::uint8_t {
  NeedsMore,  ///< All bytes were taken.
  Complete,   ///< A message ended; the rest was not taken.
  Malformed,  ///< Not HTTP/1.
  HeadTooBig, ///< The head is larger than the limit.
};

struct parse_result {
  parse_status Status = parse_status::NeedsMore;
  std::size_t Taken = 0;
};

struct http1_parser_hooks {
  /// The head was read. False: this response has no body, as one to HEAD.
  std::function<bool(http1_head)> OnHead = [](const http1_head &) {
    return true;
  };
  std::function<void(std::string_view)> OnBody = [](std::string_view) {};
};

/// Incremental parser of one side of an HTTP/1 connection, for any number of
/// messages after each other. Stops at the end of each message. The hooks must
/// not destroy it.
class http1_parser {
public:
  http1_parser(http1_side Side, http1_parser_hooks Hooks);
  ~http1_parser();
  http1_parser(const http1_parser &) = delete;
  http1_parser &operator=(const http1_parser &) = delete;

  void limitHead(byte_count Limit);

  parse_result feed(std::string_view Bytes);
  /// The connection ended in order. Complete: it ended a message that has no
  /// length of its own.
  parse_status finish();

  /// Some bytes of an unfinished message were read.
  bool isInMessage() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
