#include "bw_measurement/detection/detection_measurement.h"

#include "bw_core/random/stable_hash.h"
#include "bw_measurement/detection/balancing_policies.h"
#include "bw_measurement/detection/detector_policy.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

using namespace bw;

namespace {

constexpr std::size_t CyclesPerRun = 20;
// The baselines' and the oracle's figures need fewer runs: their rates are
// larger.
constexpr std::size_t ComparedRuns = 4;

struct policy_entry {
  std::string Name;
  std::function<balancing_policy()> Make;
};

simulation_result merged(const std::vector<simulation_result> &Results,
                         std::size_t Count) {
  simulation_result Sum;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const simulation_result &Result = Results[Index];
    Sum.Offered += Result.Offered;
    Sum.Answered += Result.Answered;
    Sum.FalseEjections += Result.FalseEjections;
    Sum.MissedFaults += Result.MissedFaults;
    Sum.InstanceTime += Result.InstanceTime;
    Sum.DetectionTimes.insert(Sum.DetectionTimes.end(),
                              Result.DetectionTimes.begin(),
                              Result.DetectionTimes.end());
    Sum.HealthyCapacityMin =
        std::min(Sum.HealthyCapacityMin, Result.HealthyCapacityMin);
  }
  std::sort(Sum.DetectionTimes.begin(), Sum.DetectionTimes.end());
  return Sum;
}

// Each run has a seed of its own, so the number of threads changes nothing.
std::vector<simulation_result> runAll(const service_profile &Service,
                                      const fault_scenario &Scenario,
                                      const policy_entry &Policy,
                                      std::size_t Runs,
                                      const measurement_options &Options) {
  std::vector<simulation_result> Results(Runs);
  std::atomic<std::size_t> Next = 0;
  const std::uint64_t Base =
      mixHash(mixHash(Options.Seed, stableHash(Service.Name)),
              stableHash(Scenario.Name));
  const auto Work = [&] {
    for (std::size_t Run = Next++; Run < Runs; Run = Next++) {
      service_simulation Simulation(Service, Scenario, Policy.Make(),
                                    mixHash(Base, Run));
      Results[Run] = Simulation.run(CyclesPerRun);
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned Count = 0; Count < Options.Threads; ++Count)
    Threads.emplace_back(Work);
  for (std::thread &Thread : Threads)
    Thread.join();
  return Results;
}

double days(duration Time) {
  return std::chrono::duration<double>(Time) / std::chrono::hours(24);
}

double milliseconds(const std::vector<duration> &Sorted, double Share) {
  const auto Position = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  const duration Time = Sorted[std::max<std::size_t>(Position, 1) - 1];
  return std::chrono::duration<double, std::milli>(Time).count();
}

void printFalseEjections(const std::string &Prefix,
                         const simulation_result &Result,
                         const figure_sink &Sink) {
  const double Days = days(Result.InstanceTime);
  const double Rate = static_cast<double>(Result.FalseEjections) / Days;
  Sink({Prefix + "false_ejections_per_instance_day", Rate, "1/day", 4});
  // Rule of three: zero events in a time exclude a rate above 3/time at 95%.
  if (Result.FalseEjections == 0)
    Sink({Prefix + "false_ejections_upper_bound_95", 3 / Days, "1/day", 4});
  Sink({Prefix + "instance_days", Days, "days", 2});
}

void print(const std::string &Prefix, const service_profile &Service,
           const simulation_result &Result, double OracleAnswered,
           double ComparedAnswered, const figure_sink &Sink) {
  if (!Result.DetectionTimes.empty()) {
    Sink({Prefix + "detection_p50_ms", milliseconds(Result.DetectionTimes, 0.5),
          "ms", 0});
    Sink({Prefix + "detection_p99_ms",
          milliseconds(Result.DetectionTimes, 0.99), "ms", 0});
    Sink({Prefix + "faults", static_cast<double>(Result.DetectionTimes.size()),
          "count", 0});
    Sink({Prefix + "faults_missed", static_cast<double>(Result.MissedFaults),
          "count", 0});
  }
  printFalseEjections(Prefix, Result, Sink);
  Sink({Prefix + "healthy_capacity_min_ratio", Result.HealthyCapacityMin,
        "ratio", 4});
  Sink({Prefix + "floor_ratio", Service.Floor.value(), "ratio", 4});
  Sink({Prefix + "goodput_ratio", ComparedAnswered / OracleAnswered, "ratio",
        4});
}

void printProfile(const service_profile &Service, const figure_sink &Sink) {
  const std::string Prefix = Service.Name + ".";
  Sink({Prefix + "instances", static_cast<double>(Service.Instances), "count",
        0});
  Sink({Prefix + "slots", static_cast<double>(Service.Slots), "count", 0});
  Sink({Prefix + "assumed_load", Service.Load, "ratio", 2});
  for (const kind_profile &Kind : Service.Kinds)
    Sink({Prefix + "assumed_median." + Kind.Name,
          std::chrono::duration<double, std::milli>(Kind.Median).count(), "ms",
          0});
  Sink({Prefix + "threshold", ejectionThreshold(Service.Detection), "nats", 2});
}

void measure(const service_profile &Service, const fault_scenario &Scenario,
             const measurement_options &Options, const figure_sink &Sink) {
  const duration RunTime = FaultCycle * std::int64_t(CyclesPerRun) *
                           static_cast<std::int64_t>(Service.Instances);
  const auto Runs =
      static_cast<std::size_t>(std::ceil(Options.InstanceDays / days(RunTime)));
  const std::size_t Compared = std::min(Runs, ComparedRuns);
  const auto Oracle = merged(
      runAll(Service, Scenario, {"oracle", oraclePolicy}, Compared, Options),
      Compared);
  const std::vector<policy_entry> Policies = {
      {"", detectorPolicy},
      {"round_robin.", roundRobinPolicy},
      {"consecutive_errors.", consecutiveErrorsPolicy}};
  for (const policy_entry &Policy : Policies) {
    const std::size_t Count = Policy.Name.empty() ? Runs : Compared;
    const auto Results = runAll(Service, Scenario, Policy, Count, Options);
    const auto Answered = merged(Results, Compared).Answered;
    print(Service.Name + "." + Scenario.Name + "." + Policy.Name, Service,
          merged(Results, Count), static_cast<double>(Oracle.Answered),
          static_cast<double>(Answered), Sink);
  }
}

} // namespace

void bw::measureDetection(const measurement_options &Options,
                          const figure_sink &Sink) {
  for (const service_profile &Service : deployedServices()) {
    if (!Options.Service.empty() && Options.Service != Service.Name)
      continue;
    printProfile(Service, Sink);
    for (const fault_scenario &Scenario : faultScenarios())
      if (Options.Scenario.empty() || Options.Scenario == Scenario.Name)
        measure(Service, Scenario, Options, Sink);
  }
}
