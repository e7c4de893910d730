#ifndef BW_GATEWAY_FLEET_FLEET_GATEWAY_FLEET_H
#define BW_GATEWAY_FLEET_FLEET_GATEWAY_FLEET_H

#include "bw_gateway/engine/gateway_engine.h"
#include "bw_gateway_fleet/fleet/fleet_rules.h"
#include "bw_gateway_fleet/fleet/fleet_server.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bw {

struct fleet_result {
  std::size_t Requests = 0;
  std::size_t Served = 0;
  std::size_t Attempts = 0;
  /// Arrivals at each server after the first seconds.
  std::vector<std::size_t> Arrivals = {};
  /// The window in which the smallest share of the sound servers got requests.
  fleet_rules::use_record LeastUse = {};
  std::vector<fleet_violation> Violations;

  double servedShare() const { return double(Served) / double(Requests); }
  std::size_t count(fleet_rule Rule) const;
  /// Returns how many times the mean arrivals the busiest server got.
  double busiestShare() const;
};

/// The gateway engines of all hosts with links, callers and backend servers in
/// virtual time. Reports between hosts are delayed and lost. The same seed
/// gives the same run.
class gateway_fleet {
public:
  gateway_fleet(fleet_options Options, std::uint64_t Seed);
  gateway_fleet(const gateway_fleet &) = delete;
  gateway_fleet &operator=(const gateway_fleet &) = delete;

  fleet_result run();

private:
  struct host {
    std::unique_ptr<gateway_engine> Engine;
    std::uint64_t Start = 0;
    /// When the engine is next ticked.
    time_point TimerAt = time_point::max();
    time_point LastReport{};
    time_point LastAggregate{};
    time_point LastSummary{};
    bool HasReportedLoad = false;
  };
  struct open_request {
    std::size_t Host = 0;
    time_point Sent{};
    std::map<attempt_number, fleet_attempt_pointer> Attempts;
    std::map<attempt_number, int> Statuses;
    std::map<attempt_number, server_statement> Statements;
  };
  using shared_event = std::shared_ptr<const gateway_event>;

  void startHost(std::size_t Index);
  void addServers(std::size_t Count);
  void listServers();
  void schedule(const fleet_fault &Fault);
  void strike(const fleet_fault &Fault);
  void scheduleArrival();
  void scheduleExchange(std::size_t Index);
  void scheduleCheck();
  void arrive();
  void exchange(std::size_t Index);
  void sendReports(std::size_t Index, bool IsUrgent);

  void handle(std::size_t Index, const gateway_event &Event);
  void follow(std::size_t Index, const gateway_engine::commands &Out);
  void armTimer(std::size_t Index);
  void on(std::size_t Index, const start_attempt &Command);
  void on(std::size_t Index, const cancel_attempt &Command);
  void on(std::size_t Index, const relay_answer &Command);
  void on(std::size_t Index, const refuse_request &Command);
  void on(std::size_t Index, const end_request &Command);
  void on(std::size_t Index, const limits_changed &Command);
  void finish(request_number Number, bool IsServed);
  void end(const fleet_attempt_pointer &Attempt, attempt_outcome Outcome,
           int Status, const std::optional<server_statement> &Statement);
  /// Delivers the event unless the link loses it.
  void send(std::size_t From, std::size_t To, const shared_event &Event);

  bool isAggregator(std::size_t Index) const;
  std::size_t dataCentres() const {
    return Options.Deployment.DataCentres.size();
  }
  duration serverDelay(std::size_t Host, std::size_t Server) const;

  fleet_options Options;
  random_source Random;
  event_queue Queue;
  link_model Links;
  std::shared_ptr<gateway_configuration> Configuration;
  std::vector<host> Hosts;
  std::vector<std::unique_ptr<fleet_server>> Servers;
  std::unordered_map<backend_server_id, std::size_t> ServerIndexes;
  /// Servers that the platform lists; crashed ones lapse with a delay.
  std::vector<bool> IsListed;
  store_revision Revision;
  std::unordered_map<request_number, open_request> Open;
  request_number LastRequest;
  fleet_rules Rules;
  fleet_result Result;
};

} // namespace bw

#endif
