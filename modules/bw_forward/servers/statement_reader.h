#ifndef BW_FORWARD_SERVERS_STATEMENT_READER_H
#define BW_FORWARD_SERVERS_STATEMENT_READER_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_gateway/messages/gateway_events.h"

namespace bw {

/// Reads what a server says of itself from the head of its response. Fields
/// that are not valid numbers are ignored, as are times above an hour.
server_statement readStatement(const http1_head &Head,
                               const relay_headers &Names);

} // namespace bw

#endif
