#ifndef BW_GATEWAY_MESSAGES_GATEWAY_COMMANDS_H
#define BW_GATEWAY_MESSAGES_GATEWAY_COMMANDS_H

#include "bw_gateway/messages/gateway_events.h"

#include <optional>
#include <string_view>
#include <variant>

namespace bw {

/// What a server learns of the customer that sent a request. The caller's
/// credentials and customer field are not passed on.
struct forwarded_customer {
  /// Empty for a request without a known key on a public route.
  customer_id Name;

  friend bool operator==(const forwarded_customer &,
                         const forwarded_customer &) = default;
};

/// Sends the request to a server.
struct start_attempt {
  request_number Request;
  attempt_number Attempt;
  backend_server_id Server;
  server_address Address;
  /// Time left until the deadline of the request.
  duration TimeLeft{};
  /// Set if the configuration names customers.
  std::optional<forwarded_customer> Customer = {};
  /// The request must not be sent from this time on.
  std::optional<boot_time_point> SendBefore = {};
};

/// Cancels an attempt whose answer is no longer needed.
struct cancel_attempt {
  request_number Request;
  attempt_number Attempt;
};

/// Forwards the answer of this attempt to the caller.
struct relay_answer {
  request_number Request;
  attempt_number Attempt;
  /// The whole answer is buffered, so this is the last command for the request.
  bool IsComplete = true;
};

/// Why the gateway answers a request itself instead of relaying an answer.
enum class refusal_reason : std::uint8_t {
  NoConfiguration, ///< Not executed: no configuration is known yet.
  NoRoute,         ///< Not executed: no route matches the request.
  NoServer,        ///< Not executed: no server is available.
  NotExecuted,     ///< Not executed: every server that was tried declined.
  NoRoom,          ///< Not executed: no server has room for it in time.
  Stopping,        ///< Not executed: this host is shutting down.
  Overloaded,      ///< Not executed: this host is at its limit.
  Unauthenticated, ///< Not executed: no customer has the key.
  OverAllowance,   ///< Not executed: the customer has used its allowance.
  /// Not executed: the key may have been withdrawn in a configuration that this
  /// host does not know.
  ConfigurationStale,
  Unknown, ///< May have been executed; the answer was lost.
  Timeout, ///< May have been executed; the deadline passed.
};

std::string_view refusalName(refusal_reason Reason);

/// Answers the request with an error of the gateway itself.
struct refuse_request {
  request_number Request;
  refusal_reason Reason = refusal_reason::Unknown;
  /// When the caller may retry. Only set when the request was not executed.
  std::optional<duration> RetryAfter;
};

/// The last command for a request whose answer was relayed before it was
/// complete, or whose caller has left. If the answer is still being relayed, it
/// is broken off.
struct end_request {
  request_number Request;
};

/// Announces the limits of a configuration that came into force.
struct limits_changed {
  caller_limits Limits;
};

using gateway_command =
    std::variant<start_attempt, cancel_attempt, relay_answer, refuse_request,
                 end_request, limits_changed>;

} // namespace bw

#endif
