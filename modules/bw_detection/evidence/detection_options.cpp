#include "bw_detection/evidence/detection_options.h"

#include <algorithm>
#include <cmath>

using namespace bw;

duration
detection_options::doublingEjectionTime(const detection_options &Options,
                                        std::uint32_t Ejections) {
  duration Time = Options.InitialEjectionTime;
  for (std::uint32_t Count = 1;
       Count < Ejections && Time < Options.MaxEjectionTime; ++Count)
    Time *= 2;
  return std::min(Time, Options.MaxEjectionTime);
}

double bw::ejectionThreshold(const detection_options &Options) {
  // An excursion of the CUSUM starts with a bad request. By the martingale
  // bound, the expected number of excursions that reach the threshold is at
  // most requests * (probability of a bad request in the model of an unhealthy
  // server) / exp(threshold).
  constexpr double SecondsPerDay = 86400;
  const double PerDay = Options.RequestsPerSecond * SecondsPerDay;
  return std::log(PerDay * Options.MissedDetectionRate /
                  Options.FalseEjectionRate);
}
