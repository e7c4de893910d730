#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_PAGES_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_PAGES_H

#include "bw_gateway/hosts/transfer_pacer.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_gateway_daemon/status/status_service.h"

namespace bw {

/// Returns functions that create the pages, by path, from which other hosts
/// fetch the servers, the configuration and the hosts that this host knows.
/// They are called on one thread. `State` and `Clock` must outlive them. While
/// the link is busy with configurations, that page has the status 503.
std::map<std::string, std::function<http_response()>, std::less<>>
exchangePages(const platform_state &State, const runtime_clock &Clock,
              transfer_pacer_options Pacing);

} // namespace bw

#endif
