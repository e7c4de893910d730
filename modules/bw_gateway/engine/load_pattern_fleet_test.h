#ifndef BW_GATEWAY_ENGINE_LOAD_PATTERN_FLEET_TEST_H
#define BW_GATEWAY_ENGINE_LOAD_PATTERN_FLEET_TEST_H

#include "bw_gateway/engine/gateway_engine.h"

#include "bw_testing/runner/test_seed.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bw::load_pattern {

/// Requests of one route.
struct traffic_kind {
  std::string Name;
  /// Share of all requests. The shares add up to 1.
  double Share = 1;
  std::uint32_t Priority = 0;
  execution_rule Execution = execution_rule::AtMostOnce;
  duration Target = std::chrono::milliseconds(1500);
  duration Timeout = std::chrono::seconds(4);
  /// Time that a caller has in all, over the requests it repeats.
  duration CallerTimeout = std::chrono::seconds(8);
  /// Factor on the service time.
  double Work = 1;
  bool IsDownload = false;
};

struct fleet_pattern {
  std::uint64_t Seed = testSeed();
  int Hosts = 32;
  int Servers = 21;
  std::uint32_t Slots = 6;
  /// Requests that a server queues beyond its slots.
  std::size_t QueueLimit = 24;
  double RequestsPerSecond = 110;
  /// Used if there are no `Kinds`.
  double SubmissionShare = 0.75;
  std::vector<traffic_kind> Kinds = {};
  double WorkSeconds = 0.42;
  duration Length = std::chrono::seconds(40);
  /// Interval of the reports between hosts.
  duration ReportInterval = std::chrono::milliseconds(150);
  /// Factor on the number of requests at the given time.
  std::function<double(double Seconds)> Load = [](double) { return 1.0; };
  /// Factor on the requests of the callers of one data centre. Empty: 1.
  std::function<double(int DataCentre, double Seconds)> DataCentreLoad = {};
  /// Added to the time of a request that leaves its data centre.
  duration RemoteDelay{};
  /// True while the hosts of the data centre exchange nothing with others.
  std::function<bool(int DataCentre, double Seconds)> IsSilent =
      [](int, double) { return false; };
  /// Number of customers; without any, no request has a key.
  int Customers = 0;
  /// The configuration names the customers.
  bool AreCustomersConfigured = true;
  /// Factor on the usual load of the customer, which is equal for all.
  std::function<double(int Customer, double Seconds)> CustomerLoad =
      [](int, double) { return 1.0; };
  /// Refused callers come back after the time that they are told, if this is at
  /// most a third of the time that they have left.
  bool CallersComeBack = false;
  /// Share of requests that the server fails at the given time.
  std::function<double(int Server, double Seconds)> FailureShare =
      [](int, double) { return 0.012; };
  /// A failing server resets the connection instead of answering with an error.
  bool FailsByReset = false;
  /// True while the path between the two is cut.
  std::function<bool(int Host, int Server, double Seconds)> IsCut =
      [](int, int, double) { return false; };
  /// Share of requests that the server declines at the given time.
  std::function<double(int Server, double Seconds)> DeclineShare =
      [](int, double) { return 0.0; };
  /// Factor on the service time of the server at the given time.
  std::function<double(int Server, double Seconds)> Slowness = [](int, double) {
    return 1.0;
  };
};

struct request_counts {
  int Asked = 0;
  int Served = 0;
  int InTarget = 0;
  /// Attempts in another data centre than that of the host.
  int Left = 0;

  double leftShare() const { return double(Left) / Asked; }
  double servedShare() const { return double(Served) / Asked; }
  double inTargetShare() const { return double(InTarget) / Asked; }
};

struct fleet_result : request_counts {
  /// Requests that hosts received, including those of callers that came back.
  int Received = 0;
  int Attempts = 0;
  /// Attempts that servers declined.
  int Declined = 0;
  /// Requests that hosts refused, by reason.
  std::map<refusal_reason, int> Refused;
  /// Requests whose callers did not come back after a refusal, because they
  /// were told to wait for longer than a third of the time that they had left.
  int LostByRetryAfter = 0;
  /// Share of all slots that was idle while requests waited at hosts, in the
  /// samples taken with each report.
  double idleShare() const { return Samples == 0 ? 0 : IdleSum / Samples; }
  double IdleSum = 0;
  int Samples = 0;
  std::map<std::string, request_counts> Kinds;
  std::vector<request_counts> Customers;
  std::map<departure_reason, int> Departures;
  /// The same for each second, by data centre of the host and of the server.
  std::map<std::tuple<int, int, int>, int> Flows;

  int flow(int From, int To, int Second) const {
    const auto Found = Flows.find({From, To, Second});
    return Found == Flows.end() ? 0 : Found->second;
  }
};

/// How the engines choose servers.
struct policy {
  std::function<server_choice()> Choice;
  double EjectAt = server_pool_options().EjectAtFailureShare;
  ratio ProbeShare = server_pool_options().ProbeShare;
  std::function<data_centre_choice()> DataCentreChoice = [] {
    return data_centre_choice();
  };
};

/// Simulates the engines, the servers with their slots and queues, and the
/// exchange of reports, every 50 ms for failures. It is independent
/// of how the engines decide.
class fleet_simulation {
public:
  fleet_simulation(fleet_pattern Pattern, const policy &Policy);
  fleet_simulation(const fleet_simulation &) = delete;
  fleet_simulation &operator=(const fleet_simulation &) = delete;

  fleet_result run();

private:
  struct scheduled {
    time_point At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const scheduled &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct running_attempt {
    int Host = 0;
    start_attempt Attempt;
    double Work = 1;
    duration Delay{};
    bool IsCancelled = false;
  };
  using running_pointer = std::shared_ptr<running_attempt>;
  struct simulated_server {
    std::uint32_t Busy = 0;
    std::deque<running_pointer> Queue;
  };
  /// One request of a caller, which may ask several times.
  struct caller {
    std::uint64_t Number = 0;
    time_point Asked;
    std::size_t Kind = 0;
    std::optional<int> Customer;
  };
  struct open_request {
    caller Caller;
    std::map<attempt_number, running_pointer> Attempts;
  };

  std::shared_ptr<const gateway_configuration> makeConfiguration() const;
  double seconds() const;
  void at(time_point When, std::function<void()> Action);
  double loadFactor() const;
  void scheduleArrival();
  void arrive();
  void ask(const caller &Caller, int Host);
  void count(const caller &Caller, int request_counts::*Counter);
  std::size_t drawKind();
  int drawCustomer();
  int drawHost();
  void handle(int Host, const gateway_event &Event);
  void follow(int Host, const gateway_engine::commands &Out);
  void on(int Host, const start_attempt &Command);
  void on(int Host, const cancel_attempt &Command);
  void on(int Host, const relay_answer &Command);
  void on(int Host, const refuse_request &Command);
  void on(int, const end_request &) {}
  void on(int, const limits_changed &) {}
  void work(int Server, const running_pointer &Running);
  void end(const running_pointer &Running, attempt_outcome Outcome, int Status);
  void report();
  void sendAggregates();
  void sampleIdleSlots();

  fleet_pattern Pattern;
  random_source Random;
  const time_point Start{std::chrono::seconds(100)};
  time_point Now{std::chrono::seconds(100)};
  time_point NextReport{std::chrono::seconds(100)};
  bool SummaryDue = false;
  std::vector<std::unique_ptr<gateway_engine>> Engines;
  std::vector<simulated_server> Servers;
  std::unordered_map<backend_server_id, int> Indexes;
  std::priority_queue<scheduled> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastCaller = 0;
  request_number LastRequest;
  std::unordered_map<request_number, open_request> Open;
  std::map<std::pair<request_number, attempt_number>, int> Statuses;
  fleet_result Result;
};

/// Policy of the gateways.
extern const policy Detecting;
/// The same with `makeSpillingChoice()`.
extern const policy Spilling;
constexpr int DataCentreCount = 3;

fleet_result simulate(const fleet_pattern &Pattern, const policy &Policy);
void print(const char *Name, const fleet_result &Result);

} // namespace bw::load_pattern

#endif
