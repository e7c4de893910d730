#ifndef BW_GATEWAY_ENGINE_GATEWAY_LOG_H
#define BW_GATEWAY_ENGINE_GATEWAY_LOG_H

#include "bw_customers/allowances/host_allowances.h"
#include "bw_gateway/customers/freshness_gate.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/servers/server_pool.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace bw {

/// Kind of a decision about a request.
enum class request_step : std::uint8_t {
  Sent,          ///< An attempt was started.
  Retried,       ///< Another attempt was started after a failure.
  Hedged,        ///< A second attempt was started; the first is slow.
  Relayed,       ///< A server's answer was relayed to the caller.
  Refused,       ///< The gateway answered the request itself.
  CallerLeft,    ///< The caller closed its connection.
  AttemptFailed, ///< An attempt ended without an answer.
  BrokenOff,     ///< A relayed answer was not complete at the deadline.
};

/// A decision about a request, with its inputs.
struct request_decision {
  request_step Step = request_step::Sent;
  request_label Label;
  route_id Route;
  execution_rule Execution = execution_rule::AtMostOnce;
  service_id Service;
  /// Empty if it is not known or the configuration names no customers.
  customer_id Customer;
  key_presence Key = key_presence::Absent;
  backend_server_id Server;
  attempt_number Attempt;
  int Status = 0;
  /// Outcome of the attempt that led to the decision.
  attempt_outcome Outcome = attempt_outcome::Answered;
  refusal_reason Reason = refusal_reason::Unknown;
  /// When the caller of a refused request may retry.
  std::optional<duration> RetryAfter = {};
  /// Time since the request arrived.
  duration Age{};
  /// Time until its deadline, if a route was found.
  std::optional<duration> TimeLeft = {};
  double FailureShare = 0;
  /// Age of the last outcome behind `FailureShare`, if there is one.
  std::optional<duration> EvidenceAge = {};
  /// Set if an attempt was started in another data centre.
  std::optional<departure_reason> Departure = {};
  config_version Version;
};

/// A response that was received, as a whole or in part.
struct response_size {
  service_id Service;
  /// Set if it came from another data centre.
  std::optional<departure_reason> Departure;
  byte_count Body;
};

/// Callbacks for decisions, called on the engine's thread.
struct gateway_observer {
  std::function<void(const request_decision &)> OnRequest =
      [](const request_decision &) {};
  std::function<void(const response_size &)> OnResponse =
      [](const response_size &) {};
  std::function<void(const pool_change &)> OnServer = [](const pool_change &) {
  };
  std::function<void(config_version Old, config_version New)> OnConfiguration =
      [](config_version, config_version) {};
  std::function<void(const freshness_change &)> OnFreshness =
      [](const freshness_change &) {};
  /// A request of a customer with a limit was admitted or refused.
  std::function<void(const customer_id &, const allowance_decision &)>
      OnAllowance = [](const customer_id &, const allowance_decision &) {};
};

} // namespace bw

#endif
