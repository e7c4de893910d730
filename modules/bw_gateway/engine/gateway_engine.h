#ifndef BW_GATEWAY_ENGINE_GATEWAY_ENGINE_H
#define BW_GATEWAY_ENGINE_GATEWAY_ENGINE_H

#include "bw_core/random/random_source.h"
#include "bw_gateway/admission/request_admission.h"
#include "bw_gateway/customers/customer_gate.h"
#include "bw_gateway/engine/gateway_log.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/routes/host_routes.h"
#include "bw_gateway/routes/weighted_split.h"
#include "bw_gateway/servers/server_pool.h"
#include "bw_gateway/servers/service_times.h"
#include "bw_limits/budgets/retry_budget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bw {

struct gateway_engine_options {
  std::uint64_t Seed = 1;
  server_pool_options Pool;
  /// When requests with keys may be served.
  configuration_freshness_options Freshness;
  /// Retry budget of all hosts together: at most this share of a service's
  /// requests in a window, plus `RetrySlack` attempts.
  ratio RetryRatio{0.2};
  double RetrySlack = 56;
  /// Time limit for requests whose caller sends none.
  duration DefaultTimeout = std::chrono::seconds(30);
  /// Bounds of the allowances of customers; nothing if they are not enforced.
  std::optional<allowance_bounds> Allowances = {};
  /// Where routes have different priorities or the configuration names
  /// customers, new requests wait at this host until a server has room for
  /// their urgency.
  bool QueuesByUrgency = false;
  gateway_observer Observer = {};
};

/// Decides on each request from its arrival to its answer. Takes events and the
/// current time, and returns commands. Not thread-safe.
class gateway_engine {
public:
  using commands = std::vector<gateway_command>;

  explicit gateway_engine(gateway_engine_options Options);
  gateway_engine(const gateway_engine &) = delete;
  gateway_engine &operator=(const gateway_engine &) = delete;

  void handle(const gateway_event &Event, time_point Now, commands &Out);
  /// Handles the timers that have expired. Call it at `nextDue` or later.
  void tick(time_point Now, commands &Out);
  time_point nextDue() const;

  /// Returns the report of this host for the aggregators.
  peer_reported takeReport(time_point Now);
  /// As in `load_exchange`, including this host's own load.
  load_aggregate takeAggregate(bool WithLoad, time_point Now);
  load_summary takeSummary(bool WithLoad, time_point Now);
  const customer_allowances &allowances() const {
    return Customers.allowances();
  }
  const load_exchange &exchange() const { return Pool.exchange(); }
  /// True if this host must send summaries even without load.
  bool needsIdleSummaries() const {
    return Pool.choosesDataCentre() && exchange().duty().IsFirst;
  }

  std::size_t openRequests() const { return Requests.size(); }
  /// Number of open requests that wait for room and were not sent yet.
  std::size_t waitingRequests() const { return Waiting.size(); }
  /// Age of the load of other hosts that decisions use.
  const load_age &loadAge() const { return Pool.loadAge(); }
  config_version version() const;
  /// True when a configuration and a server list are known.
  bool isReady() const { return Configuration && Pool.isListed(); }

private:
  struct attempt {
    attempt_number Number;
    backend_server_id Server;
    time_point Started;
    /// Load of the server before the attempt.
    server_load Load;
    work_amount Work{1};
    /// Set if the server is one of another data centre.
    std::optional<departure_reason> Departure = {};
    /// Slowness was already counted against the server.
    bool IsSlow = false;
    bool IsHedge = false;
  };
  enum class timer_kind : std::uint8_t { Slow, Hedge, Deadline };
  struct timer {
    time_point At;
    request_number Request;
    attempt_number Attempt;
    timer_kind Kind = timer_kind::Deadline;
    friend auto operator<=>(const timer &, const timer &) = default;
  };
  /// An answer buffered by the forwarding thread.
  struct held_answer {
    attempt_number Attempt;
    backend_server_id Server;
    int Status = 0;
    bool IsComplete = true;
  };
  struct request_state {
    request_label Label;
    /// Keeps the route alive when a newer configuration takes effect.
    std::shared_ptr<const gateway_configuration> Configuration;
    const gateway_route *Route = nullptr;
    service_id Service;
    time_point Arrived;
    time_point Deadline;
    bool IsReplayable = true;
    /// Decides whether the request leaves the data centre.
    double DepartureDraw = 0;
    presented_key Key;
    std::optional<forwarded_customer> Customer;
    /// Set if the last attempt was not started because of the key.
    std::optional<refusal_reason> KeyRefusal;
    /// 0 is the most urgent.
    std::uint32_t Priority = 0;
    /// Holds a token of the customer's allowance.
    bool HoldsToken = false;
    /// An attempt may have been executed.
    bool MayHaveRun = false;
    /// Set while an answer is being relayed.
    bool IsRelaying = false;
    /// Servers chosen for the request, in order.
    std::vector<backend_server_id> Tried;
    std::vector<attempt> Open;
    std::uint32_t Attempts = 0;
    std::uint32_t ConnectFailures = 0;
    /// A server's error answer, relayed if no other attempt succeeds.
    std::optional<held_answer> HeldAnswer;
    /// Timers of this request, including those that have expired.
    std::vector<timer> Timers;
  };
  using request_map = std::unordered_map<request_number, request_state>;

  void on(const request_arrived &Event, time_point Now, commands &Out);
  void on(const attempt_ended &Event, time_point Now, commands &Out);
  void on(const relay_ended &Event, time_point Now, commands &Out);
  void on(const caller_left &Event, time_point Now, commands &Out);
  void on(const servers_listed &Event, time_point Now, commands &Out);
  void on(const configuration_read &Event, time_point Now, commands &Out);
  void on(const peer_reported &Event, time_point Now, commands &Out);
  void on(const load_summary &Event, time_point Now, commands &Out);
  void on(const load_aggregate &Event, time_point Now, commands &Out);
  void on(const exchange_duty &Event, time_point Now, commands &Out);
  void on(const hosts_counted &Event, time_point Now, commands &Out);
  void on(const stop_began &Event, time_point Now, commands &Out);
  void on(const configuration_verified &Event, time_point, commands &) {
    Customers.freshness().handle(Event);
  }
  void on(const newer_version_known &Event, time_point, commands &) {
    Customers.freshness().handle(Event);
  }
  void on(const time_suspended &Event, time_point, commands &) {
    Customers.handle(Event);
  }

  bool startAttempt(request_number Number, request_state &Request,
                    request_step Step, time_point Now, commands &Out,
                    const server_filter &Filter = {});
  /// Starts or refuses the requests that wait for room.
  void serveWaiting(time_point Now, commands &Out);
  /// Learns from the time that an answer took.
  void recordTime(const request_state &Request, const attempt &Ended,
                  time_point Now);
  admission_request admissionOf(request_number Number,
                                const request_state &Request) const;
  departure_request departureOf(const request_state &Request) const;
  /// Reports the bytes of a response that has ended.
  void reportResponse(const request_state &Request, const attempt &Ended,
                      byte_count Bytes) const;
  void answered(request_map::iterator Found, const attempt_ended &Event,
                const attempt &Ended, time_point Now, commands &Out);
  void failed(request_map::iterator Found, const attempt_ended &Event,
              time_point Now, commands &Out);
  bool retry(request_number Number, request_state &Request,
             attempt_outcome Outcome, time_point Now, commands &Out);
  bool mayBeSentAgain(const request_state &Request,
                      attempt_outcome Outcome) const;
  void relay(request_map::iterator Found, const held_answer &Given,
             time_point Now, commands &Out);
  /// Without a `RetryAfter`, the usual one for the reason is sent.
  void refuse(request_map::iterator Found, refusal_reason Reason,
              time_point Now, commands &Out,
              std::optional<duration> RetryAfter = std::nullopt);
  void endWithoutRetry(request_map::iterator Found, time_point Now,
                       commands &Out);
  /// Returns the token of a request that no server ran.
  void returnToken(request_state &Request, time_point Now);
  /// Ends a request whose answer is not complete at its deadline.
  void breakOff(request_map::iterator Found, time_point Now, commands &Out);
  void schedule(request_state &Request, timer Timer);
  void finish(request_map::iterator Found);
  void handleTimer(const timer &Timer, time_point Now, commands &Out);
  void countIfSlow(request_state &Request, attempt &Attempt, time_point Now);
  void cancelOpen(request_number Number, request_state &Request, commands &Out);
  std::optional<attempt> closeAttempt(request_state &Request,
                                      attempt_number Number);
  void applyStatement(const request_state &Request, const attempt_ended &Event,
                      time_point Now);
  double declinedWeight(const service_id &Service) const;
  /// True unless a planned stop could end before the request does.
  bool endsBeforeStop(const request_state &Request) const;
  /// Answers the requests that are still open at the end of a planned stop.
  void endOpenRequests(time_point Now, commands &Out);
  duration slowAfter(const gateway_route &Route) const;
  duration hedgeAfter(const gateway_route &Route) const;
  /// True if the request was not executed and a later one may be served.
  static bool mayComeBack(refusal_reason Reason);
  duration retryAfter(const request_state &Request, refusal_reason Reason,
                      time_point Now);
  double budgetCapacity() const;
  bool takeHedgeToken(const request_state &Request);
  /// True if the retry budget of the service is left to more urgent requests.
  bool leavesTokens(const request_state &Request) const;
  /// Returns the tokens that a request adds to the retry budget.
  double tokensPerRequest() const;
  retry_budget &budgetOf(const service_id &Service);
  void report(const request_state &Request, request_decision Decision,
              time_point Now) const;

  gateway_engine_options Options;
  random_source Random;
  /// A source of its own, so that the other decisions do not depend on it.
  random_source DepartureRandom;
  server_pool Pool;
  std::shared_ptr<const gateway_configuration> Configuration;
  host_routes Routes;
  customer_gate Customers;
  std::uint32_t Hosts;
  request_map Requests;
  std::set<timer> Timers;
  std::unordered_map<route_id, weighted_split> Splits;
  request_admission Waiting;
  service_times Times;
  std::unordered_map<service_id, retry_budget> Budgets;
  /// Moving average of the share of attempts that servers declined.
  std::unordered_map<service_id, double> DeclinedShares;
  /// End of a planned stop, once one has begun.
  std::optional<time_point> FinishBy;
  /// The open requests have been answered because the stop ends.
  bool HasEndedRequests = false;
};

} // namespace bw

#endif
