#include "bw_measurement/detection/fault_scenario.h"

using namespace bw;
using namespace std::chrono_literals;

bool bw::isServersFault(const fault &Fault) {
  const bool OfServer = Fault.Effect == fault_effect::Slow ||
                        Fault.Effect == fault_effect::Errors ||
                        Fault.Effect == fault_effect::Stalls;
  return OfServer && Fault.Reach != fault_reach::AllServers;
}

std::vector<fault_scenario> bw::faultScenarios() {
  const fault Slow = {.Effect = fault_effect::Slow, .Amount = 10};
  const fault Errors = {.Effect = fault_effect::Errors, .Amount = 0.5};
  const fault Stalls = {.Effect = fault_effect::Stalls, .Amount = 0.5};
  fault OneKind = Slow;
  OneKind.OnlyKind = 1;
  fault Tenth = Slow;
  Tenth.Reach = fault_reach::TenthOfServers;
  fault Flapping = Slow;
  Flapping.OnTime = 3s;
  Flapping.Period = 10s;
  const fault Overload = {.Effect = fault_effect::Slow,
                          .Amount = 3,
                          .Reach = fault_reach::AllServers};
  fault Slowdown = Overload;
  Slowdown.Amount = 1.5;
  return {
      {"no_fault", {}},
      {"gray_slow", {Slow}},
      {"gray_errors", {Errors}},
      {"gray_stalls", {Stalls}},
      {"gray_one_kind", {OneKind}},
      {"gray_tenth", {Tenth}},
      {"flapping", {Flapping}},
      {"one_way_partition", {{.Effect = fault_effect::Partition}}},
      {"silent_connections", {{.Effect = fault_effect::SilentConnections}}},
      {"service_slow", {Overload}},
      {"rolling_restart", {{.Effect = fault_effect::Restart, .Amount = 4}}},
      {"two_faults", {Errors, Slowdown}},
  };
}
