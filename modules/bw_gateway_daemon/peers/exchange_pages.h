#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_PAGES_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_PAGES_H

#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_gateway_daemon/status/status_service.h"

namespace bw {

/// Creates the pages from which other hosts fetch the state of this host. The
/// state must outlive them.
std::map<std::string, std::function<http_response()>, std::less<>>
exchangePages(const platform_state &State);

} // namespace bw

#endif
