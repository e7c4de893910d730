/// \file
/// HTTP towards callers, operators, backend servers and the platform: a server
/// over RESTinio and a client over libcurl. Neither library shows in a header.
///
/// Depends on: bw_core, bw_kernel, bw_resources.
#ifndef BW_HTTP_BW_HTTP_H
#define BW_HTTP_BW_HTTP_H

#include "bw_http/client/http_call.h"
#include "bw_http/client/http_call_session.h"
#include "bw_http/client/http_client.h"
#include "bw_http/messages/head_grammar.h"
#include "bw_http/messages/http_messages.h"
#include "bw_http/messages/percent_encoding.h"
#include "bw_http/server/http_exchange.h"
#include "bw_http/server/http_server.h"

#endif
