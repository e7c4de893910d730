#ifndef BW_GATEWAY_ENGINE_GATEWAY_ENGINE_H
#define BW_GATEWAY_ENGINE_GATEWAY_ENGINE_H

#include "bw_core/random/random_source.h"
#include "bw_gateway/engine/gateway_log.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/routes/host_routes.h"
#include "bw_gateway/routes/weighted_split.h"
#include "bw_gateway/servers/server_pool.h"
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
  /// Extra attempts of the whole fleet: at most this share of the requests of
  /// a service in a window, and this number on top.
  ratio RetryRatio{0.2};
  double RetrySlack = 56;
  /// Longest wait of a request that names no limit of its own.
  duration LongestWait = std::chrono::seconds(30);
  gateway_observer Observer = {};
};

/// Follows each request from its arrival to its answer. Events and the time
/// come in, commands go out. Not thread-safe.
class gateway_engine {
public:
  using commands = std::vector<gateway_command>;

  explicit gateway_engine(gateway_engine_options Options);
  gateway_engine(const gateway_engine &) = delete;
  gateway_engine &operator=(const gateway_engine &) = delete;

  void handle(const gateway_event &Event, time_point Now, commands &Out);
  /// Acts on what is due. Call it at `nextDue` or later.
  void tick(time_point Now, commands &Out);
  time_point nextDue() const;

  /// Own observations since the last call, for the aggregators.
  peer_reported takeReport() {
    return Pool.exchange().takeReport(Pool.ownLoad());
  }
  /// As `load_exchange`, with this host's own load.
  load_aggregate takeAggregate(bool WithLoad) {
    return Pool.exchange().takeAggregate(Pool.ownLoad(), WithLoad);
  }
  load_summary takeSummary(bool WithLoad) {
    return Pool.exchange().takeSummary(Pool.ownLoad(), WithLoad);
  }
  const load_exchange &exchange() const { return Pool.exchange(); }

  std::size_t openRequests() const { return Requests.size(); }
  config_version version() const;
  /// Of the list of servers in use.
  store_revision listRevision() const { return Pool.revision(); }
  /// True when a configuration and a list of servers are known.
  bool isReady() const { return Configuration && Pool.isListed(); }

private:
  struct attempt {
    attempt_number Number;
    backend_server_id Server;
    time_point Started;
    /// Its server was already blamed for being slow.
    bool IsSlow = false;
    bool IsHedge = false;
  };
  enum class due_kind : std::uint8_t { Slow, Hedge, Deadline };
  struct due_entry {
    time_point At;
    request_number Request;
    attempt_number Attempt;
    due_kind Kind = due_kind::Deadline;
    friend auto operator<=>(const due_entry &, const due_entry &) = default;
  };
  /// An answer that the forwarding thread holds.
  struct held_answer {
    attempt_number Attempt;
    backend_server_id Server;
    int Status = 0;
    bool IsComplete = true;
  };
  struct request_state {
    request_label Label;
    /// Keeps the route alive when a newer configuration comes.
    std::shared_ptr<const gateway_configuration> Configuration;
    const gateway_route *Route = nullptr;
    service_id Service;
    time_point Arrived;
    time_point Deadline;
    bool IsReplayable = true;
    /// An attempt was sent that may have run.
    bool MayHaveRun = false;
    /// Set while an answer is being relayed.
    bool IsRelaying = false;
    /// Servers that were sent the request, in order.
    std::vector<backend_server_id> Tried;
    std::vector<attempt> Open;
    std::uint32_t Attempts = 0;
    std::uint32_t ConnectFailures = 0;
    /// A server's error, handed over when nothing better comes.
    std::optional<held_answer> HeldAnswer;
    /// What is still due for this request.
    std::vector<due_entry> Due;
  };
  struct route_statistics {
    /// Seconds; 0 before the first answer.
    double MeanLatency = 0;
    std::uint32_t Samples = 0;
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

  bool startAttempt(request_number Number, request_state &Request,
                    request_step Step, time_point Now, commands &Out);
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
  void refuse(request_map::iterator Found, refusal_reason Reason,
              time_point Now, commands &Out);
  void giveUp(request_map::iterator Found, time_point Now, commands &Out);
  void schedule(request_state &Request, due_entry Entry);
  void finish(request_map::iterator Found);
  void due(const due_entry &Entry, time_point Now, commands &Out);
  void judgeSlow(request_state &Request, attempt &Attempt, time_point Now);
  void cancelOpen(request_number Number, request_state &Request, commands &Out);
  std::optional<attempt> closeAttempt(request_state &Request,
                                      attempt_number Number);
  double declinedWeight(const service_id &Service) const;
  void recordLatency(const request_state &Request, const attempt &Ended,
                     time_point Now);
  duration slowAfter(const gateway_route &Route) const;
  duration hedgeAfter(const gateway_route &Route) const;
  duration retryAfter();
  double budgetCapacity() const;
  bool takeHedgeToken(const request_state &Request);
  retry_budget &budgetOf(const service_id &Service);
  void report(const request_state &Request, request_decision Decision,
              time_point Now) const;

  gateway_engine_options Options;
  random_source Random;
  server_pool Pool;
  std::shared_ptr<const gateway_configuration> Configuration;
  host_routes Routes;
  std::uint32_t Hosts;
  request_map Requests;
  std::set<due_entry> Due;
  std::unordered_map<route_id, weighted_split> Splits;
  std::unordered_map<route_id, route_statistics> Statistics;
  std::unordered_map<service_id, retry_budget> Budgets;
  /// Share of the latest attempts that servers declined.
  std::unordered_map<service_id, double> DeclinedShares;
};

} // namespace bw

#endif
