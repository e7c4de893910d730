#ifndef BW_MEASUREMENT_RUNNER_MEASUREMENT_H
#define BW_MEASUREMENT_RUNNER_MEASUREMENT_H

#include "bw_measurement/runner/figure.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bw {

struct measurement_options {
  std::uint64_t Seed = 1;
  /// Empty: all.
  std::string Service;
  std::string Scenario;
  /// Simulated for each service and scenario of the detection figures.
  double InstanceDays = 1;
  /// Requests of the delivery figures.
  std::uint64_t Requests = 1'000'000;
  /// Only the measurement of this name; empty: all.
  std::string Only;
  /// Does not change the figures.
  unsigned Threads = 4;
};

/// One entry of the tool: computes figures and hands them to the sink.
struct measurement {
  std::string Name;
  std::function<void(const measurement_options &, const figure_sink &)> Run;
};

std::vector<measurement> allMeasurements();

} // namespace bw

#endif
