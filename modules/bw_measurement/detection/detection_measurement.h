#ifndef BW_MEASUREMENT_DETECTION_DETECTION_MEASUREMENT_H
#define BW_MEASUREMENT_DETECTION_DETECTION_MEASUREMENT_H

#include "bw_measurement/runner/measurement.h"

namespace bw {

/// Detection time, false ejections, healthy capacity and goodput for each
/// service and scenario, with the same figures for two baselines.
void measureDetection(const measurement_options &Options,
                      const figure_sink &Sink);

} // namespace bw

#endif
