#ifndef BW_FORWARD_CALLERS_CALLER_EXCHANGE_H
#define BW_FORWARD_CALLERS_CALLER_EXCHANGE_H

#include "bw_core/ids/time.h"
#include "bw_forward/parser/http1_parser.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bw {

class caller_connection;

/// One request of a caller and the response to it. Used by the forwarding
/// thread only.
struct caller_exchange {
  request_number Number;
  http1_head Head;
  /// The body as far as received; for a streamed request, only the part that
  /// has not been passed to a server.
  std::string Body;
  bool IsBodyComplete = false;
  /// The body exceeds the replay limit and is passed on while it is received.
  bool IsStreamed = false;
  /// The request was passed on for a decision.
  bool IsDispatched = false;
  /// Set if the request was complete and had to wait for others.
  std::optional<time_point> WaitsSince = {};
  /// Memory of the head.
  std::size_t HeadMemory = 0;

  /// Response bytes that are not yet being written.
  std::string Output;
  bool IsResponseStarted = false;
  /// The whole response is in `Output` or was written.
  bool IsResponseComplete = false;
  /// The response exceeds, or is expected to exceed, the caller's share of the
  /// buffers, so it is relayed before it is complete.
  bool IsResponseLong = false;
  /// The connection closes after this response.
  bool ClosesConnection = false;

  std::weak_ptr<caller_connection> Connection;
};

/// What the attempts of a request hold.
struct attempt_holding {
  /// Memory of responses received, and their bytes.
  std::size_t ResponseMemory = 0;
  std::size_t ResponseBytes = 0;
  /// Memory of what is being sent to servers.
  std::size_t RequestMemory = 0;
};

/// Memory that a text has allocated. Short texts need none.
std::size_t memoryOf(const std::string &Text);
std::size_t memoryOf(const http1_head &Head);

using exchange_pointer = std::shared_ptr<caller_exchange>;

/// Reason phrase of a status code according to RFC 9110; `Status` for codes
/// without an entry.
std::string_view reasonPhrase(int Status);

} // namespace bw

#endif
