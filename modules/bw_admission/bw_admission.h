/// \file
/// Decisions under heavy load: how much a server may be given by requests of
/// different urgency, and which requests wait for room in which order. The
/// logic takes values and the current time; it does no I/O.
///
/// Depends on: bw_core.
#ifndef BW_ADMISSION_BW_ADMISSION_H
#define BW_ADMISSION_BW_ADMISSION_H

#include "bw_admission/queue/admission_queue.h"
#include "bw_admission/room/room_estimate.h"
#include "bw_admission/room/room_share.h"
#include "bw_admission/room/urgency.h"
#include "bw_admission/spill/spill_policy.h"

#endif
