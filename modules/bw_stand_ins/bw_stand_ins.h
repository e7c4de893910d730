/// \file
/// Small stand-ins for outside systems, for tests and the demonstration: the
/// platform's object API and host list, backend servers with scripted gray
/// failures, and a TCP relay that injects faults.
///
/// Depends on: bw_core, bw_kernel, bw_http.
#ifndef BW_STAND_INS_BW_STAND_INS_H
#define BW_STAND_INS_BW_STAND_INS_H

#include "bw_stand_ins/backend/backend_stand_in.h"
#include "bw_stand_ins/platform/object_table.h"
#include "bw_stand_ins/platform/platform_stand_in.h"
#include "bw_stand_ins/relay/fault_relay.h"
#include "bw_stand_ins/relay/fault_schedule.h"
#include "bw_stand_ins/relay/relay_command.h"
#include "bw_stand_ins/relay/relay_faults.h"

#endif
