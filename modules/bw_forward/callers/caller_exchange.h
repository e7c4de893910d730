#ifndef BW_FORWARD_CALLERS_CALLER_EXCHANGE_H
#define BW_FORWARD_CALLERS_CALLER_EXCHANGE_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
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

  /// Response bytes that are not yet being written.
  std::string Output;
  bool IsResponseStarted = false;
  /// The whole response is in `Output` or was written.
  bool IsResponseComplete = false;
  /// The connection closes after this response.
  bool ClosesConnection = false;

  std::weak_ptr<caller_connection> Connection;
};

using exchange_pointer = std::shared_ptr<caller_exchange>;

/// Reason phrase of a status code according to RFC 9110; `Status` for codes
/// without an entry.
std::string_view reasonPhrase(int Status);

} // namespace bw

#endif
