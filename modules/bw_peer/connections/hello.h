#ifndef BW_PEER_CONNECTIONS_HELLO_H
#define BW_PEER_CONNECTIONS_HELLO_H

#include "bw_peer/frames/peer_frame.h"
#include "bw_peer/messages/peer_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace bw {

constexpr std::uint32_t PeerProtocol = 1;

/// Both in the form that starts a connection: length in 4 bytes, message.
std::string encodeHello(const wire::Hello &Hello);
std::string encodeHello(const wire::HelloReply &Reply);

/// Takes one hello off the front of `Bytes`. Nothing when it has not arrived
/// entirely. \throws peer_protocol_error
template <typename Message>
std::optional<Message> takeHello(std::string &Bytes);

/// What the accepting side answers. An empty key matches nothing.
wire::HelloReply::Result judgeHello(const wire::Hello &Hello,
                                    std::string_view PeerKey);

} // namespace bw

#endif
