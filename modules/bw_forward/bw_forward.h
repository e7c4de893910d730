/// \file
/// HTTP/1.1 forwarding between callers and backend servers: connections on
/// both sides, pipelining, back-pressure, and validation of responses before
/// they are relayed. Decisions come from the decide service through rings.
///
/// Depends on: bw_core, bw_customers, bw_resources, bw_kernel, bw_gateway,
/// bw_http.
#ifndef BW_FORWARD_BW_FORWARD_H
#define BW_FORWARD_BW_FORWARD_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_forward/servers/response_classification.h"
#include "bw_forward/service/forward_service.h"

#endif
