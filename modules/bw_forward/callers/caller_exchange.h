#ifndef BW_FORWARD_CALLERS_CALLER_EXCHANGE_H
#define BW_FORWARD_CALLERS_CALLER_EXCHANGE_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
#include <string>
#include <string_view>

namespace bw {

class caller_connection;

/// One request of a caller and the answer to it, in the order of the
/// connection. Used by the forwarding thread only.
struct caller_exchange {
  request_number Number;
  http1_head Head;
  /// What was read of the body; of a streamed request, what no server has
  /// taken yet.
  std::string Body;
  bool IsBodyComplete = false;
  /// The body is longer than what is held for another attempt.
  bool IsStreamed = false;
  /// The request was handed on for a decision.
  bool IsAnnounced = false;

  /// Bytes of the answer that are not yet being written.
  std::string Output;
  bool IsAnswered = false;
  /// The whole answer is in `Output` or written.
  bool IsEnded = false;
  /// The connection closes after this answer.
  bool ClosesConnection = false;

  std::weak_ptr<caller_connection> Connection;
};

using exchange_pointer = std::shared_ptr<caller_exchange>;

/// Reason phrase of a status, as RFC 9110 has it.
std::string_view reasonPhrase(int Status);

} // namespace bw

#endif
