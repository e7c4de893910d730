/// \file
/// Gray-failure detection. Compares the outcome and latency of real requests
/// with those of peer instances, recommends ejecting backend servers and
/// returning them to service, and limits ejections so that the floor is kept.
/// Performs no I/O and reads no clock; time is passed in as an argument.
///
/// Depends on: bw_core.
#ifndef BW_DETECTION_BW_DETECTION_H
#define BW_DETECTION_BW_DETECTION_H

#include "bw_detection/detector/detection_event.h"
#include "bw_detection/detector/server_detector.h"
#include "bw_detection/evidence/detection_options.h"
#include "bw_detection/evidence/evidence_class.h"
#include "bw_detection/evidence/latency_band.h"
#include "bw_detection/floor/ejection_floor.h"
#include "bw_detection/reference/latency_digest.h"
#include "bw_detection/reference/latency_reference.h"

#endif
