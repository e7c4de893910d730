#ifndef BW_MEASUREMENT_DETECTION_SERVICE_PROFILE_H
#define BW_MEASUREMENT_DETECTION_SERVICE_PROFILE_H

#include "bw_detection/evidence/detection_options.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bw {

struct kind_profile {
  std::string Name;
  double Share = 1;
  duration Median{};
  double Sigma = 0.5;
  /// Only repeatable requests are sent again and used in trials.
  bool Repeatable = true;
};

/// A backend service as it is measured: sizes and delays from the deployment,
/// load and service times assumed.
struct service_profile {
  std::string Name;
  std::size_t Instances = 1;
  std::uint32_t Slots = 1;
  /// Share of all slots that is busy on average.
  double Load = 0.6;
  std::vector<kind_profile> Kinds;
  double TailShare = 0.005;
  double ErrorShare = 0.0005;
  /// Pauses of a healthy instance: mean time between and mean length.
  duration PauseEvery = std::chrono::seconds(60);
  duration PauseMean = std::chrono::milliseconds(60);
  duration Deadline = std::chrono::seconds(5);
  /// Between data centres, one way.
  duration OneWay = std::chrono::milliseconds(4);
  duration TickPeriod = std::chrono::milliseconds(25);
  ratio Floor{0.8};
  detection_options Detection;
};

/// Detection settings: Chaopraya weighs detection time, Sagarmatha weighs
/// false ejections.
detection_options chaoprayaDetection();
detection_options sagarmathaDetection();

std::vector<service_profile> deployedServices();

} // namespace bw

#endif
