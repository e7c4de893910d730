/// \file
/// The messages between daemons: `bw::wire::Head`, `bw::wire::End` and their
/// parts, generated from peer.proto, and conversions of the ids they carry.
#ifndef BW_PEER_MESSAGES_PEER_MESSAGES_H
#define BW_PEER_MESSAGES_PEER_MESSAGES_H

#include "bw_core/ids/identifiers.h"

// The generated code does not meet this project's warnings.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
#include "bw_peer/messages/peer.pb.h"
#pragma GCC diagnostic pop

namespace bw {

wire::DaemonId toWire(const daemon_id &Id);
wire::RequestId toWire(const request_id &Id);
wire::AttemptId toWire(const attempt_id &Id);
daemon_id fromWire(const wire::DaemonId &Id);
request_id fromWire(const wire::RequestId &Id);
attempt_id fromWire(const wire::AttemptId &Id);

} // namespace bw

#endif
