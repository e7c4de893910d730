/// \file
/// Decisions of a daemon that sends requests to backend servers itself, without
/// an owner host in between: route, choice of the server, attempts, retries,
/// hedges and refusals. Several hosts share what they see of the servers by
/// reports. Takes typed messages and the time, returns commands.
///
/// Depends on: bw_core, bw_limits, bw_membership.
#ifndef BW_GATEWAY_BW_GATEWAY_H
#define BW_GATEWAY_BW_GATEWAY_H

#include "bw_gateway/engine/gateway_engine.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/routes/host_routes.h"
#include "bw_gateway/routes/weighted_split.h"
#include "bw_gateway/servers/load_exchange.h"
#include "bw_gateway/servers/server_evidence.h"
#include "bw_gateway/servers/server_pool.h"

#endif
