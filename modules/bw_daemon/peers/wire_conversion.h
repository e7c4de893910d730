#ifndef BW_DAEMON_PEERS_WIRE_CONVERSION_H
#define BW_DAEMON_PEERS_WIRE_CONVERSION_H

#include "bw_daemon/owner/outgoing_request.h"
#include "bw_daemon/requests/request_desk.h"
#include "bw_engine/entry/entry_engine.h"
#include "bw_engine/owner/owner_engine.h"
#include "bw_membership/hosts/membership_messages.h"
#include "bw_peer/messages/peer_messages.h"

#include <vector>

namespace bw {

// Conversions between the decisions' messages and those between daemons.

wire::Forward toWire(const forward_attempt &Forward,
                     const outgoing_request &Request);
forward_offer offerFromWire(const wire::Forward &Forward);
outgoing_request requestFromWire(const wire::Forward &Forward);

wire::Relay toWire(const relay_order &Order, time_point Now);
relay_order relayFromWire(const wire::Relay &Relay, time_point Now);

wire::AnswerHead answerHeadToWire(const request_id &Request, int Status,
                                  const http_headers &Headers);
http_headers headersFromWire(const wire::AnswerHead &Head);

wire::End toWire(const attempt_end &End);
attempt_end fromWire(const wire::End &End);

wire::Fence toWire(const fence_request &Fence);
fence_request fromWire(const wire::Fence &Fence);
wire::FenceReply toWire(const fence_reply &Reply);
fence_reply fromWire(const wire::FenceReply &Reply);

wire::Heartbeat toWire(const heartbeat &Beat);
heartbeat fromWire(const wire::Heartbeat &Beat);

wire::LatencyDigest toWire(const send_digest &Message);
latency_digest fromWire(const wire::LatencyDigest &Digest);

wire::DrainSign toWire(const drain_sign &Sign);
drain_sign fromWire(const wire::DrainSign &Sign);

} // namespace bw

#endif
