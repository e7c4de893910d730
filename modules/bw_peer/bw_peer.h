/// \file
/// Streams between daemons: HTTP/2 (nghttp2) over TCP sockets (Asio) on one
/// thread, with protobuf messages in length-prefixed frames, raw data and an
/// explicit end. Asio and nghttp2 stay inside the source files.
///
/// Depends on: bw_core, bw_kernel.
#ifndef BW_PEER_BW_PEER_H
#define BW_PEER_BW_PEER_H

#include "bw_peer/messages/peer_messages.h"
#include "bw_peer/service/peer_options.h"
#include "bw_peer/service/peer_service.h"
#include "bw_peer/streams/peer_stream.h"
#include "bw_peer/streams/stream_callbacks.h"
#include "bw_peer/streams/stream_closed.h"

#endif
