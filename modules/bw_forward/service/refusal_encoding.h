#ifndef BW_FORWARD_SERVICE_REFUSAL_ENCODING_H
#define BW_FORWARD_SERVICE_REFUSAL_ENCODING_H

#include "bw_forward/servers/relay_headers.h"
#include "bw_gateway/messages/gateway_commands.h"

#include <string>

namespace bw {

/// Encodes the response to a request that the gateway answers itself.
std::string encodeRefusal(const refuse_request &Refusal,
                          const std::string &Label, bool ClosesConnection,
                          const relay_headers &Names);

} // namespace bw

#endif
