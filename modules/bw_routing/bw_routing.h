/// \file
/// Routing decisions: which host owns a backend server, which route matches a
/// path, and to which backend server an entry host sends a request.
///
/// Depends on: bw_core.
#ifndef BW_ROUTING_BW_ROUTING_H
#define BW_ROUTING_BW_ROUTING_H

#include "bw_routing/ownership/ownership_map.h"
#include "bw_routing/picking/owner_health.h"
#include "bw_routing/picking/server_picker.h"
#include "bw_routing/picking/slot_estimate.h"
#include "bw_routing/routes/route_table.h"
#include "bw_routing/routing_error.h"

#endif
