#ifndef BW_MEASUREMENT_DETECTION_DETECTOR_POLICY_H
#define BW_MEASUREMENT_DETECTION_DETECTOR_POLICY_H

#include "bw_measurement/detection/service_simulation.h"

namespace bw {

/// The decision modules, each instance with an owner of its own: detectors,
/// digests between owners, path checks by the successor, trials, floor.
balancing_policy detectorPolicy();

} // namespace bw

#endif
