#ifndef BW_FORWARD_SERVICE_REQUEST_DESCRIPTION_H
#define BW_FORWARD_SERVICE_REQUEST_DESCRIPTION_H

#include "bw_forward/callers/caller_exchange.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_gateway/messages/gateway_events.h"

namespace bw {

/// Describes a caller's request for the decide service.
request_arrived describeRequest(const caller_exchange &Exchange,
                                const relay_headers &Names, time_point Now);

} // namespace bw

#endif
