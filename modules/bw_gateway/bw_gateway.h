/// \file
/// Decision logic of a daemon that sends requests directly to backend servers
/// instead of through an owner host: routing, server selection, attempts,
/// retries, hedging and refusals. Hosts exchange reports of the load and the
/// health of the servers. The logic takes typed messages and the current time,
/// and returns commands.
///
/// Depends on: bw_core, bw_admission, bw_customers, bw_limits, bw_membership.
#ifndef BW_GATEWAY_BW_GATEWAY_H
#define BW_GATEWAY_BW_GATEWAY_H

#include "bw_gateway/admission/request_admission.h"
#include "bw_gateway/customers/customer_allowances.h"
#include "bw_gateway/customers/customer_gate.h"
#include "bw_gateway/customers/freshness_gate.h"
#include "bw_gateway/engine/gateway_engine.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/routes/host_routes.h"
#include "bw_gateway/routes/weighted_split.h"
#include "bw_gateway/servers/load_exchange.h"
#include "bw_gateway/servers/server_evidence.h"
#include "bw_gateway/servers/server_pool.h"
#include "bw_gateway/servers/service_times.h"

#endif
