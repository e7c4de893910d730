/// \file
/// Virtual time and the links between hosts, for simulations of the decision
/// modules.
///
/// Depends on: bw_core.
#ifndef BW_SIMULATION_BW_SIMULATION_H
#define BW_SIMULATION_BW_SIMULATION_H

#include "bw_simulation/links/link_model.h"
#include "bw_simulation/time/event_queue.h"

#endif
