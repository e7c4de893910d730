#include "bw_gateway_daemon/metrics/gateway_metrics.h"

using namespace bw;

namespace {

const std::string Requests = "bramleywinch_requests_total";
const std::string Refusals = "bramleywinch_refusals_total";
const std::string UnauthenticatedRequests =
    "bramleywinch_unauthenticated_total";
const std::string Attempts = "bramleywinch_attempts_total";
const std::string Departures = "bramleywinch_departed_attempts_total";
const std::string ResponseBytes = "bramleywinch_response_bytes_total";
const std::string DepartedBytes = "bramleywinch_departed_bytes_total";
const std::string FailedAttempts = "bramleywinch_failed_attempts_total";
const std::string ServerChanges = "bramleywinch_server_changes_total";
const std::string ConfigurationChanges =
    "bramleywinch_configuration_changes_total";
const std::string ConfigurationsRefused =
    "bramleywinch_configurations_refused_total";
const std::string FreshnessChanges = "bramleywinch_freshness_changes_total";
const std::string Duration = "bramleywinch_request_duration_seconds";

constexpr int FirstServerError = 500;

std::string changeLabel(pool_change::kind Kind) {
  switch (Kind) {
  case pool_change::kind::Added:
    return "added";
  case pool_change::kind::Leaving:
    return "leaving";
  case pool_change::kind::Removed:
    return "removed";
  case pool_change::kind::Restarted:
    return "restarted";
  case pool_change::kind::Ejected:
    return "ejected";
  case pool_change::kind::Returned:
    return "returned";
  case pool_change::kind::Unused:
    return "unused";
  case pool_change::kind::Limited:
    return "limited";
  case pool_change::kind::LimitEnded:
    return "limit_ended";
  case pool_change::kind::Deferred:
    return "deferred";
  }
  return "";
}

void countDeparture(metric_registry &Metrics,
                    const request_decision &Decision) {
  if (Decision.Departure)
    Metrics.count(
        Departures,
        {{"service", Decision.Service.value()},
         {"reason", std::string(departureName(*Decision.Departure))}});
}

void countResponse(metric_registry &Metrics, const response_size &Response) {
  const auto Bytes = static_cast<double>(Response.Body.value());
  const std::string &Service = Response.Service.value();
  Metrics.count(ResponseBytes, {{"service", Service}}, Bytes);
  if (Response.Departure)
    Metrics.count(DepartedBytes,
                  {{"service", Service},
                   {"reason", std::string(departureName(*Response.Departure))}},
                  Bytes);
}

void countRequest(metric_registry &Metrics, const request_decision &Decision) {
  const std::string &Service = Decision.Service.value();
  switch (Decision.Step) {
  case request_step::Sent:
    return Metrics.count(Attempts, {{"service", Service}, {"cause", "first"}});
  case request_step::Retried:
    return Metrics.count(Attempts, {{"service", Service}, {"cause", "retry"}});
  case request_step::Hedged:
    return Metrics.count(Attempts, {{"service", Service}, {"cause", "hedge"}});
  case request_step::AttemptFailed:
    return Metrics.count(
        FailedAttempts,
        {{"service", Service},
         {"outcome", std::string(outcomeName(Decision.Outcome))}});
  case request_step::Relayed: {
    const bool IsServed = Decision.Status < FirstServerError;
    Metrics.count(Requests,
                  {{"service", Service},
                   {"outcome", IsServed ? "served" : "server_error"}});
    if (IsServed)
      Metrics.observe(
          Duration,
          {{"service", Service},
           {"execution", Decision.Execution == execution_rule::Repeatable
                             ? "repeatable"
                             : "at_most_once"}},
          std::chrono::duration<double>(Decision.Age).count());
    return;
  }
  case request_step::Refused:
    Metrics.count(Requests, {{"service", Service}, {"outcome", "refused"}});
    if (Decision.Reason == refusal_reason::Unauthenticated)
      Metrics.count(UnauthenticatedRequests,
                    {{"key", std::string(presenceName(Decision.Key))}});
    return Metrics.count(
        Refusals, {{"reason", std::string(refusalName(Decision.Reason))}});
  case request_step::BrokenOff:
    return Metrics.count(Requests,
                         {{"service", Service}, {"outcome", "broken_off"}});
  case request_step::CallerLeft:
    return Metrics.count(Requests, {{"service", Service}, {"outcome", "left"}});
  }
}

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

gateway_observer bw::makeDecisionMetrics(metric_registry &Metrics) {
  return {.OnRequest =
              [&Metrics](const request_decision &Decision) {
                countRequest(Metrics, Decision);
                countDeparture(Metrics, Decision);
              },
          .OnResponse =
              [&Metrics](const response_size &Response) {
                countResponse(Metrics, Response);
              },
          .OnServer =
              [&Metrics](const pool_change &Change) {
                Metrics.count(ServerChanges,
                              {{"service", Change.Server.Service.value()},
                               {"change", changeLabel(Change.Kind)}});
              },
          .OnConfiguration =
              [&Metrics](config_version, config_version) {
                Metrics.count(ConfigurationChanges, {});
              },
          .OnFreshness =
              [&Metrics](const freshness_change &Change) {
                Metrics.count(FreshnessChanges,
                              {{"to", Change.IsFresh ? "fresh" : "stale"}});
              }};
}

std::function<void(const configuration_refusal &)>
bw::makeRefusalMetric(metric_registry &Metrics) {
  // Operators watch the increase, so the series has to exist before.
  Metrics.count(ConfigurationsRefused, {}, 0);
  return [&Metrics](const configuration_refusal &) {
    Metrics.count(ConfigurationsRefused, {});
  };
}

gateway_observer bw::combineObservers(const gateway_observer &First,
                                      const gateway_observer &Second) {
  return {
      .OnRequest =
          [A = First.OnRequest,
           B = Second.OnRequest](const request_decision &Decision) {
            A(Decision);
            B(Decision);
          },
      .OnResponse =
          [A = First.OnResponse,
           B = Second.OnResponse](const response_size &Response) {
            A(Response);
            B(Response);
          },
      .OnServer =
          [A = First.OnServer, B = Second.OnServer](const pool_change &Change) {
            A(Change);
            B(Change);
          },
      .OnConfiguration =
          [A = First.OnConfiguration,
           B = Second.OnConfiguration](config_version Old, config_version New) {
            A(Old, New);
            B(Old, New);
          },
      .OnFreshness =
          [A = First.OnFreshness,
           B = Second.OnFreshness](const freshness_change &Change) {
            A(Change);
            B(Change);
          },
      .OnAllowance =
          [A = First.OnAllowance, B = Second.OnAllowance](
              const customer_id &Customer, const allowance_decision &Decision) {
            A(Customer, Decision);
            B(Customer, Decision);
          }};
}

void bw::addBudgetMetrics(metric_registry &Metrics,
                          const forward_counters &Counters) {
  const std::string Used = "bramleywinch_budget_used";
  const std::string Peak = "bramleywinch_budget_peak";
  const std::string Closed = "bramleywinch_callers_closed";
  Metrics.describe(Used, "Used amount of each budget of the process.");
  Metrics.describe(Peak, "Largest used amount since the start.");
  Metrics.describe(Closed, "Callers closed because of a limit, by reason.");
  const std::pair<const char *, const budget_gauge *> Budgets[] = {
      {"caller_connections", &Counters.CallerConnectionsUsed},
      {"server_connections", &Counters.ServerConnectionsUsed},
      {"caller_bytes", &Counters.CallerBytes},
      {"server_bytes", &Counters.ServerBytes},
      {"open_requests", &Counters.OpenRequests}};
  for (const auto &[Name, Gauge] : Budgets) {
    Metrics.addGauge(Used, {{"budget", Name}},
                     [G = Gauge] { return double(G->Used.load()); });
    Metrics.addGauge(Peak, {{"budget", Name}},
                     [G = Gauge] { return double(G->Peak.load()); });
  }
  for (std::uint8_t Index = 0; Index < CloseReasonCount; ++Index) {
    const auto Reason = static_cast<close_reason>(Index);
    Metrics.addGauge(Closed, {{"reason", std::string(closeReasonName(Reason))}},
                     [&Counters, Reason] {
                       return double(Counters.ClosedCallers.count(Reason));
                     });
  }
}

void bw::addDaemonMetrics(metric_registry &Metrics,
                          const metric_sources &Sources) {
  Metrics.describe(Requests, "Requests of callers by service and outcome.");
  Metrics.describe(Refusals, "Answers of the host itself by reason.");
  Metrics.describe(UnauthenticatedRequests,
                   "Refused keys; present: no customer has the key.");
  Metrics.describe(Attempts, "Requests sent to servers by cause.");
  Metrics.describe(Departures,
                   "Requests sent to another data centre by reason.");
  Metrics.describe(ResponseBytes, "Bytes of response bodies of servers.");
  Metrics.describe(DepartedBytes,
                   "Those of servers of another data centre by reason.");
  Metrics.describe(FailedAttempts, "Attempts without a usable answer.");
  Metrics.describe(ServerChanges, "Changes of what is known of servers.");
  Metrics.describe(ConfigurationChanges, "Configurations put in force.");
  Metrics.describe(ConfigurationsRefused,
                   "Configurations of the store not put in force.");
  Metrics.describe(FreshnessChanges,
                   "Changes of whether requests with keys may be served.");
  Metrics.describe(Duration, "From arrival to the decision to hand on.");
  const auto Add = [&](const std::string &Name, const std::string &Help,
                       std::function<double()> Value) {
    Metrics.describe(Name, Help);
    Metrics.addGauge(Name, {}, std::move(Value));
  };
  const metric_sources S = Sources;
  Metrics.describe("bramleywinch_build_info", "Always 1; names the program.");
  Metrics.addGauge("bramleywinch_build_info",
                   {{"host", S.Host}, {"version", S.Version}},
                   [] { return 1.0; });
  Add("bramleywinch_time_seconds", "Unix time of this page.", [] {
    return std::chrono::duration<double>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  });
  Add("bramleywinch_open_requests", "Requests without an answer.",
      [&D = S.Decide] { return double(D.openRequests()); });
  Add("bramleywinch_waiting_requests",
      "Open requests that wait until a server has room.",
      [&D = S.Decide] { return double(D.waitingRequests()); });
  Add("bramleywinch_load_age_seconds",
      "Mean age of the load of other hosts as known here; -1 if none is.",
      [&D = S.Decide] {
        const auto Age = D.loadAge();
        return Age ? seconds(*Age) : -1.0;
      });
  Add("bramleywinch_ready", "1 when this host takes new callers.",
      [&D = S.Decide, &State = S.State] {
        return D.isReady() && State.mayServeKeys() ? 1.0 : 0.0;
      });
  Add("bramleywinch_keys_served",
      "1 unless requests with keys are refused as the configuration is stale.",
      [&State = S.State] { return State.mayServeKeys() ? 1.0 : 0.0; });
  Add("bramleywinch_configuration_proof_age_seconds",
      "Since the configuration was known to be current; -1 if it never was.",
      [&State = S.State] {
        const auto Age = State.proofAge();
        return Age ? seconds(*Age) : -1.0;
      });
  Add("bramleywinch_configuration_version", "Version in force.",
      [&D = S.Decide] { return double(D.version().value()); });
  Add("bramleywinch_server_list_age_seconds",
      "Since the list of servers was read from the store, by any host.",
      [&State = S.State] { return seconds(State.ownState().ListAge); });
  Add("bramleywinch_store_era",
      "Newest known era of the store, which rises when it comes back from a "
      "copy; 0 if it names none.",
      [&State = S.State] { return double(State.era().value()); });
  Add("bramleywinch_server_list_era",
      "Era of the store in which the list of servers was read.",
      [&State = S.State] {
        return double(State.ownState().ListPosition.Era.value());
      });
  Add("bramleywinch_servers_listed", "Servers in the list.",
      [&State = S.State] {
        const auto Known = State.servers();
        return Known ? double(Known->Servers.size()) : 0.0;
      });
  Add("bramleywinch_hosts_listed", "Other hosts known from the store.",
      [&State = S.State] { return double(State.hosts().size()); });
  Add("bramleywinch_caller_connections_accepted", "Connections of callers.",
      [&F = S.Forward] {
        return double(F.counters().CallerConnections.load());
      });
  Add("bramleywinch_server_connections_opened", "Connections to servers.",
      [&F = S.Forward] {
        return double(F.counters().ServerConnections.load());
      });
  Add("bramleywinch_transfers_aborted", "Answers that broke off halfway.",
      [&F = S.Forward] { return double(F.counters().Aborted.load()); });
  Add("bramleywinch_requests_refused_by_budget",
      "Requests refused because a budget is used up.",
      [&F = S.Forward] { return double(F.counters().RefusedByBudget.load()); });
  Add("bramleywinch_attempts_without_connection",
      "Attempts for which no server connection was left.", [&F = S.Forward] {
        return double(F.counters().UnconnectedAttempts.load());
      });
  addBudgetMetrics(Metrics, S.Forward.counters());
  Add("bramleywinch_log_lines_written", "Log lines written.",
      [&L = S.Log] { return double(L.writtenLines()); });
  Add("bramleywinch_log_lines_dropped", "Log lines dropped.",
      [&L = S.Log] { return double(L.droppedLines()); });
}
