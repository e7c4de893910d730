/// \file
/// Determines which hosts are live (from heartbeats and the host list), which
/// backend servers are added or leaving, and the progress of the daemon's own
/// planned stop.
///
/// Depends on: bw_core.
#ifndef BW_MEMBERSHIP_BW_MEMBERSHIP_H
#define BW_MEMBERSHIP_BW_MEMBERSHIP_H

#include "bw_membership/drain/drain_state.h"
#include "bw_membership/hosts/membership_messages.h"
#include "bw_membership/hosts/membership_view.h"
#include "bw_membership/servers/server_directory.h"

#endif
