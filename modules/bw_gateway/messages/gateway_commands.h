#ifndef BW_GATEWAY_MESSAGES_GATEWAY_COMMANDS_H
#define BW_GATEWAY_MESSAGES_GATEWAY_COMMANDS_H

#include "bw_gateway/messages/gateway_events.h"

#include <optional>
#include <string_view>
#include <variant>

namespace bw {

/// Send the request to this server.
struct start_attempt {
  request_number Request;
  attempt_number Attempt;
  backend_server_id Server;
  server_address Address;
  /// Time that is left for the server.
  duration TimeLeft{};
};

/// Stop an attempt: the answer is not wanted any more.
struct cancel_attempt {
  request_number Request;
  attempt_number Attempt;
};

/// Hand the answer of this attempt to the caller.
struct relay_answer {
  request_number Request;
  attempt_number Attempt;
};

/// Why the system answers a request itself.
enum class refusal_reason : std::uint8_t {
  NoConfiguration, ///< Not run: no configuration is known yet.
  NoRoute,         ///< Not run: the configuration has no such route.
  NoServer,        ///< Not run: no server can take it.
  NotExecuted,     ///< Not run: every server that was asked declined.
  Stopping,        ///< Not run: this host stops.
  Overloaded,      ///< Not run: this host has no room for it.
  Unknown,         ///< It may have run; the answer was lost.
  Timeout,         ///< It may have run; the time is over.
};

std::string_view refusalName(refusal_reason Reason);

struct refuse_request {
  request_number Request;
  refusal_reason Reason = refusal_reason::Unknown;
  /// When the caller may come back; only for requests that did not run.
  std::optional<duration> RetryAfter;
};

/// The bounds of a configuration that came into force.
struct limits_changed {
  caller_limits Limits;
};

using gateway_command =
    std::variant<start_attempt, cancel_attempt, relay_answer, refuse_request,
                 limits_changed>;

} // namespace bw

#endif
