#include "bw_measurement/delivery/delivery_measurement.h"

#include "bw_measurement/delivery/fault_network.h"
#include "bw_measurement/delivery/leaving_network.h"
#include "bw_measurement/delivery/version_network.h"

#include <algorithm>
#include <chrono>

using namespace bw;

namespace {

constexpr double LinkLoss = 0.05;

double milliseconds(duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double share(std::uint64_t Part, std::uint64_t Whole) {
  return static_cast<double>(Part) / static_cast<double>(Whole);
}

void measureFaults(const delivery_measurement_options &Options,
                   const delivery_figure_sink &Sink) {
  fault_network Network({.Requests = Options.Requests}, Options.Seed);
  const delivery_verdicts Verdicts = Network.run();
  const auto Count = [&](const char *Name, std::uint64_t Value) {
    Sink(std::string("delivery.faults.") + Name, static_cast<double>(Value),
         "count", 0);
  };
  Count("requests", Verdicts.Requests);
  Count("submissions", Verdicts.Submissions);
  Count("double_runs", Verdicts.DoubleRuns);
  Count("false_not_run", Verdicts.FalseNotRun);
  Count("false_done", Verdicts.FalseDone);
  Count("wrong_answers", Verdicts.WrongAnswers);
  Sink("delivery.faults.attempts_per_request", Network.attemptsPerRequest(),
       "ratio", 4);
  Sink("delivery.faults.done_ratio", share(Verdicts.Done, Verdicts.Requests),
       "ratio", 4);
  Sink("delivery.faults.not_run_ratio",
       share(Verdicts.NotRun, Verdicts.Requests), "ratio", 4);
  Sink("delivery.faults.unknown_ratio",
       share(Verdicts.Unknown, Verdicts.Requests), "ratio", 4);
}

// Every backend server refuses; hosts and links are well.
void measureOutage(const delivery_measurement_options &Options,
                   const delivery_figure_sink &Sink) {
  fault_options Outage;
  Outage.Requests = std::max<std::uint64_t>(Options.Requests / 10, 1);
  Outage.ConnectFailureChance = 1;
  Outage.RestartEvery = std::chrono::hours(24);
  Outage.PauseEvery = std::chrono::hours(24);
  fault_network Network(Outage, Options.Seed);
  const delivery_verdicts Verdicts = Network.run();
  Sink("delivery.full_outage.attempts_per_request",
       Network.attemptsPerRequest(), "ratio", 4);
  Sink("delivery.full_outage.false_not_run",
       static_cast<double>(Verdicts.FalseNotRun), "count", 0);
}

struct version_scenario {
  const char *Name;
  bool StoreAway;
  bool Partitioned;
};

void measureVersions(const deployment &Deployment, std::uint64_t Changes,
                     const delivery_measurement_options &Options,
                     const delivery_figure_sink &Sink) {
  const version_scenario Scenarios[] = {
      {"loss", false, false},
      {"store_away", true, false},
      {"one_way_partition", false, true},
      {"store_away_one_way_partition", true, true},
  };
  for (const version_scenario &Scenario : Scenarios) {
    link_model Links(Deployment, LinkLoss);
    if (Scenario.Partitioned)
      Links.partitionOneWay();
    version_network Network(Links, Scenario.StoreAway, Options.Seed);
    duration Longest{};
    for (std::uint64_t Change = 0; Change < Changes; ++Change)
      Longest = std::max(Longest, Network.change());
    Sink("configuration." + Deployment.Name + "." + Scenario.Name +
             ".config_in_force_p100_ms",
         milliseconds(Longest), "ms", 1);
  }
}

void measureLeaving(const deployment &Deployment,
                    const delivery_measurement_options &Options,
                    const delivery_figure_sink &Sink) {
  for (const bool DrainResponses : {true, false}) {
    duration Last{};
    for (std::uint64_t Round = 0; Round < Options.Leavings; ++Round) {
      leaving_network Network(link_model(Deployment, LinkLoss), DrainResponses,
                              Options.Seed * 100'003 + Round);
      Last = std::max(Last, Network.leave());
    }
    const char *Scenario = DrainResponses ? ".drain_responses" : ".list_only";
    Sink("membership." + Deployment.Name + Scenario + ".leaving_work_last_ms",
         milliseconds(Last), "ms", 1);
  }
}

} // namespace

void bw::measureDelivery(const delivery_measurement_options &Options,
                         const delivery_figure_sink &Sink) {
  measureFaults(Options, Sink);
  measureOutage(Options, Sink);
  for (const deployment &Deployment : {chaopraya(), sagarmatha()}) {
    measureVersions(Deployment, Options.Changes, Options, Sink);
    measureLeaving(Deployment, Options, Sink);
  }
  measureVersions(designSize(),
                  std::max<std::uint64_t>(Options.Changes / 10, 1), Options,
                  Sink);
}
