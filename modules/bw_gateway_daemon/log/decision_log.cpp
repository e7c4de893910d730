#include "bw_gateway_daemon/log/decision_log.h"

#include "bw_kernel/log/log_event.h"

#include <fmt/format.h>

using namespace bw;

namespace {

std::string milliseconds(duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

std::string optionalMilliseconds(const std::optional<duration> &Time) {
  return Time ? milliseconds(*Time) : "none";
}

std::string_view causeName(request_step Step) {
  switch (Step) {
  case request_step::Retried:
    return "retry";
  case request_step::Hedged:
    return "hedge";
  default:
    return "first";
  }
}

void logRequest(const request_decision &Decision) {
  const std::string &Request = Decision.Label.value();
  const std::string Attempt = std::to_string(Decision.Attempt.value());
  const std::string Age = milliseconds(Decision.Age);
  const std::string &Server = Decision.Server.value();
  switch (Decision.Step) {
  case request_step::Sent:
  case request_step::Retried:
  case request_step::Hedged:
    return logEvent(
        log_event::AttemptStarted,
        {{"request", Request},
         {"route", Decision.Route.value()},
         {"service", Decision.Service.value()},
         {"server", Server},
         {"attempt", Attempt},
         {"cause", std::string(causeName(Decision.Step))},
         {"failure_share", fmt::format("{:.2f}", Decision.FailureShare)},
         {"evidence_age_ms", optionalMilliseconds(Decision.EvidenceAge)},
         {"age_ms", Age},
         {"version", std::to_string(Decision.Version.value())}});
  case request_step::AttemptFailed:
    return logEvent(log_event::AttemptFailed,
                    {{"request", Request},
                     {"server", Server},
                     {"attempt", Attempt},
                     {"outcome", std::string(outcomeName(Decision.Outcome))},
                     {"age_ms", Age}});
  case request_step::Relayed:
    return logEvent(log_event::RequestAnswered,
                    {{"request", Request},
                     {"server", Server},
                     {"attempt", Attempt},
                     {"status", std::to_string(Decision.Status)},
                     {"age_ms", Age}});
  case request_step::Refused:
    return logEvent(
        log_event::RequestRefused,
        {{"request", Request},
         {"route", Decision.Route.value()},
         {"service", Decision.Service.value()},
         {"reason", std::string(refusalName(Decision.Reason))},
         {"customer", Decision.Customer.value()},
         {"key", std::string(presenceName(Decision.Key))},
         {"retry_after_ms", optionalMilliseconds(Decision.RetryAfter)},
         {"age_ms", Age},
         {"time_left_ms", optionalMilliseconds(Decision.TimeLeft)},
         {"version", std::to_string(Decision.Version.value())}});
  case request_step::BrokenOff:
    return logEvent(log_event::TransferAborted, {{"request", Request},
                                                 {"server", Server},
                                                 {"attempt", Attempt},
                                                 {"reason", "deadline"},
                                                 {"age_ms", Age}});
  case request_step::CallerLeft:
    return logEvent(log_event::CallerLeft,
                    {{"request", Request}, {"age_ms", Age}});
  }
}

log_event eventFor(pool_change::kind Kind) {
  switch (Kind) {
  case pool_change::kind::Added:
  case pool_change::kind::Restarted:
    return log_event::BackendServerListed;
  case pool_change::kind::Leaving:
    return log_event::BackendServerLeaving;
  case pool_change::kind::Removed:
    return log_event::BackendServerGone;
  case pool_change::kind::Ejected:
    return log_event::BackendServerEjected;
  case pool_change::kind::Returned:
    return log_event::BackendServerReturned;
  case pool_change::kind::Unused:
    return log_event::BackendServerUnused;
  case pool_change::kind::Limited:
    return log_event::BackendServerLimited;
  case pool_change::kind::LimitEnded:
    return log_event::BackendServerLimitEnded;
  case pool_change::kind::Deferred:
    return log_event::BackendServerDeferred;
  }
  return log_event::BackendServerListed;
}

void logServer(const pool_change &Change) {
  logEvent(eventFor(Change.Kind),
           {{"server", Change.Server.Server.value()},
            {"service", Change.Server.Service.value()},
            {"address", Change.Server.Address.value()},
            {"start", std::to_string(Change.Server.Start.value())},
            {"failure_share", fmt::format("{:.2f}", Change.FailureShare)},
            {"evidence_age_ms", optionalMilliseconds(Change.EvidenceAge)},
            {"unused_ms", milliseconds(Change.UnusedFor)},
            {"limit", fmt::format("{:.2f}", Change.Limit)},
            {"own_rate", fmt::format("{:.3f}", Change.OwnRate)},
            {"refuses_ms", milliseconds(Change.RefusesFor)}});
}

void logConfiguration(config_version Old, config_version New) {
  logEvent(log_event::ConfigurationInForce,
           {{"version", std::to_string(New.value())},
            {"previous", std::to_string(Old.value())}});
}

void logFreshness(const freshness_change &Change) {
  logEvent(Change.IsFresh ? log_event::ConfigurationFresh
                          : log_event::ConfigurationStale,
           {{"version", std::to_string(Change.Version.value())},
            {"proof_age_ms", optionalMilliseconds(Change.ProofAge)}});
}

} // namespace

gateway_observer bw::makeDecisionLog() {
  return {.OnRequest = logRequest,
          .OnServer = logServer,
          .OnConfiguration = logConfiguration,
          .OnFreshness = logFreshness};
}
