/// \file
/// Measures the decision modules in virtual time with the sizes and delays of
/// both deployments. Each topic adds named measurements to the list in
/// `runner/measurement.cpp`. The same seed prints the same figures.
///
/// Depends on: bw_core, bw_detection, bw_delivery, bw_membership,
/// bw_configuration, bw_simulation.
#ifndef BW_MEASUREMENT_BW_MEASUREMENT_H
#define BW_MEASUREMENT_BW_MEASUREMENT_H

#include "bw_measurement/delivery/delivery_ledger.h"
#include "bw_measurement/delivery/delivery_measurement.h"
#include "bw_measurement/delivery/fault_host.h"
#include "bw_measurement/delivery/fault_messages.h"
#include "bw_measurement/delivery/fault_network.h"
#include "bw_measurement/delivery/fault_options.h"
#include "bw_measurement/delivery/fault_store.h"
#include "bw_measurement/delivery/leaving_network.h"
#include "bw_measurement/delivery/version_network.h"
#include "bw_measurement/detection/balancing_policies.h"
#include "bw_measurement/detection/detection_measurement.h"
#include "bw_measurement/detection/detector_policy.h"
#include "bw_measurement/detection/fault_scenario.h"
#include "bw_measurement/detection/quantile_table.h"
#include "bw_measurement/detection/service_profile.h"
#include "bw_measurement/detection/service_simulation.h"
#include "bw_measurement/runner/figure.h"
#include "bw_measurement/runner/measurement.h"

#endif
