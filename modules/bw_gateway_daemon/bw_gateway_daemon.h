/// \file
/// Services of a daemon that forwards requests to backend servers itself: the
/// decide service around the gateway engine, the followers of the platform's
/// configuration and server list, the exchange with other hosts, readiness,
/// metrics and the schedule of a planned stop.
///
/// Depends on: bw_core, bw_customers, bw_kernel, bw_gateway, bw_forward,
/// bw_http, bw_reports.
#ifndef BW_GATEWAY_DAEMON_BW_GATEWAY_DAEMON_H
#define BW_GATEWAY_DAEMON_BW_GATEWAY_DAEMON_H

#include "bw_gateway_daemon/decide/gateway_decide_service.h"
#include "bw_gateway_daemon/follow/configuration_follower.h"
#include "bw_gateway_daemon/follow/host_follower.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_gateway_daemon/follow/server_follower.h"
#include "bw_gateway_daemon/log/decision_log.h"
#include "bw_gateway_daemon/metrics/customer_metrics.h"
#include "bw_gateway_daemon/metrics/gateway_metrics.h"
#include "bw_gateway_daemon/peers/exchange_fetch_service.h"
#include "bw_gateway_daemon/peers/exchange_pages.h"
#include "bw_gateway_daemon/peers/peer_report_service.h"
#include "bw_gateway_daemon/status/status_service.h"
#include "bw_gateway_daemon/stop/stop_schedule.h"

#endif
