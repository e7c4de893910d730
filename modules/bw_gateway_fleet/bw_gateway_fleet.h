/// \file
/// The gateway engines of a whole fleet with their reports, callers and backend
/// servers in virtual time, and a checker that states the rules of the users'
/// platform from what callers and servers saw. It needs no network; a seed
/// gives the same run each time.
///
/// Depends on: bw_core, bw_gateway, bw_simulation.
#ifndef BW_GATEWAY_FLEET_BW_GATEWAY_FLEET_H
#define BW_GATEWAY_FLEET_BW_GATEWAY_FLEET_H

#include "bw_gateway_fleet/configuration/configuration_spread.h"
#include "bw_gateway_fleet/fleet/fleet_options.h"
#include "bw_gateway_fleet/fleet/fleet_rules.h"
#include "bw_gateway_fleet/fleet/fleet_server.h"
#include "bw_gateway_fleet/fleet/gateway_fleet.h"

#endif
