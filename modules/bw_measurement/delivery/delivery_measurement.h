#ifndef BW_MEASUREMENT_DELIVERY_DELIVERY_MEASUREMENT_H
#define BW_MEASUREMENT_DELIVERY_DELIVERY_MEASUREMENT_H

#include <cstdint>
#include <functional>
#include <string>

namespace bw {

struct delivery_measurement_options {
  std::uint64_t Seed = 1;
  /// Requests of callers in the run with faults.
  std::uint64_t Requests = 1'000'000;
  /// Changes of the configuration in each scenario.
  std::uint64_t Changes = 300;
  /// Backend servers that leave, one after the other, at each deployment.
  std::uint64_t Leavings = 300;
};

/// Hook: takes name, value, unit and number of decimals of each figure.
using delivery_figure_sink =
    std::function<void(const std::string &, double, const std::string &, int)>;

/// Delivery under faults and in a full outage, the time until a configuration
/// is in force, and the last work of a leaving backend server. The same seed
/// gives the same figures.
void measureDelivery(const delivery_measurement_options &Options,
                     const delivery_figure_sink &Sink);

} // namespace bw

#endif
