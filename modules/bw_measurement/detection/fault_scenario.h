#ifndef BW_MEASUREMENT_DETECTION_FAULT_SCENARIO_H
#define BW_MEASUREMENT_DETECTION_FAULT_SCENARIO_H

#include "bw_core/ids/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bw {

enum class fault_effect : std::uint8_t {
  /// Amount: factor of the service time.
  Slow,
  /// Amount: share of requests that fail at once.
  Errors,
  /// Amount: share of requests that are never answered.
  Stalls,
  /// No answer reaches the owner; the successor's path works.
  Partition,
  /// Connections open at the start are silent; new ones work.
  SilentConnections,
  /// Leaves, is away for 5 s and returns cold: slow by Amount for 8 s.
  Restart,
};

enum class fault_reach : std::uint8_t { OneServer, TenthOfServers, AllServers };

struct fault {
  fault_effect Effect = fault_effect::Slow;
  double Amount = 1;
  fault_reach Reach = fault_reach::OneServer;
  /// Position of the only kind affected; empty: every kind.
  std::optional<std::size_t> OnlyKind;
  /// Flapping: on for OnTime in each Period; zero: on all the time.
  duration OnTime{};
  duration Period{};
};

struct fault_scenario {
  std::string Name;
  std::vector<fault> Faults;
};

/// Each fault lasts FaultLength at the start of a FaultCycle; a cycle that
/// begins while an instance is excluded has no fault.
constexpr duration FaultLength = std::chrono::seconds(30);
constexpr duration FaultCycle = std::chrono::seconds(60);

/// Whether a fault is to be blamed on its servers: service-wide slowness and
/// restarts are not.
bool isServersFault(const fault &Fault);

std::vector<fault_scenario> faultScenarios();

} // namespace bw

#endif
