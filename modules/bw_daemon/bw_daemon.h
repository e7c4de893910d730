/// \file
/// The daemon's services, one for each duty: accept, decide, backend, peer,
/// platform and watch, and the parts that the decide thread consists of.
///
/// Depends on: bw_core, bw_kernel, bw_detection, bw_limits, bw_routing,
/// bw_delivery, bw_membership, bw_configuration, bw_engine, bw_schema, bw_http,
/// bw_peer, bw_platform, bw_operations, bw_resources.
#ifndef BW_DAEMON_BW_DAEMON_H
#define BW_DAEMON_BW_DAEMON_H

#include "bw_daemon/accept/accept_service.h"
#include "bw_daemon/backend/backend_service.h"
#include "bw_daemon/decide/decide_service.h"
#include "bw_daemon/platform/platform_service.h"
#include "bw_daemon/platform/watch_service.h"
#include "bw_daemon/settings/daemon_settings.h"

#endif
