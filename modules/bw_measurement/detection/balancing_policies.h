#ifndef BW_MEASUREMENT_DETECTION_BALANCING_POLICIES_H
#define BW_MEASUREMENT_DETECTION_BALANCING_POLICIES_H

#include "bw_measurement/detection/service_simulation.h"

namespace bw {

/// Chooses blindly in turn and ejects nobody.
balancing_policy roundRobinPolicy();

/// Least requests; ejects after 5 errors in a row for 30 s, under the floor.
balancing_policy consecutiveErrorsPolicy();

/// Knows the sick servers, broken paths and silent connections at once.
balancing_policy oraclePolicy();

} // namespace bw

#endif
