/// \file
/// Combines the decision modules: the entry engine delivers each caller's
/// request through an owner, the owner engine admits requests to its instances
/// and monitors their health, and the fleet view holds the state of hosts and
/// instances that both use. The engines do no I/O and read no clock: they take
/// typed messages and the current time and return commands.
///
/// Depends on: bw_core, bw_detection, bw_limits, bw_routing, bw_delivery,
/// bw_membership, bw_configuration.
#ifndef BW_ENGINE_BW_ENGINE_H
#define BW_ENGINE_BW_ENGINE_H

#include "bw_engine/entry/entry_engine.h"
#include "bw_engine/entry/exclusion_table.h"
#include "bw_engine/fleet/attempt_end.h"
#include "bw_engine/fleet/fleet_view.h"
#include "bw_engine/fleet/service_settings.h"
#include "bw_engine/owner/owned_instance.h"
#include "bw_engine/owner/owner_engine.h"

#endif
