#ifndef BW_PEER_SERVICE_PEER_OPTIONS_H
#define BW_PEER_SERVICE_PEER_OPTIONS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_peer/streams/peer_stream.h"
#include "bw_peer/streams/stream_callbacks.h"

#include <cstdint>
#include <functional>
#include <string>

namespace bw {

/// Where a message goes.
struct peer_target {
  /// Numeric IPv4 or IPv6 address.
  std::string Address;
  std::uint16_t Port = 0;
  /// The daemon that is meant. An empty host or incarnation 0 accepts any;
  /// otherwise another daemon at that address gets nothing and the stream
  /// closes as refused and not delivered.
  daemon_id Daemon;
};

/// A stream that another daemon has opened.
struct incoming_stream {
  peer_stream Stream;
  daemon_id From;
  wire::Head Head;
};

/// Decides about an incoming stream on the peer thread and returns the hooks
/// of that stream. Only `OnWritable` and `OnClosed` are called for it.
using stream_handler = std::function<stream_callbacks(incoming_stream)>;

struct peer_limits {
  std::size_t StreamsPerConnection = 1'024;
  /// Connections accepted from other daemons at the same time.
  std::size_t AcceptedConnections = 2'048;
  /// A head frame: 8 MiB of request body and room for headers and ids.
  byte_count HeadFrame = mebibytes(8) + kibibytes(256);
  /// Partly received heads of one connection together.
  byte_count HeadsPerConnection = mebibytes(64);
  byte_count EndFrame = kibibytes(64);
  byte_count DataFrame = mebibytes(1);
  /// Names and values of the headers in one message, and of HTTP/2 itself.
  byte_count Headers = kibibytes(64);
  std::size_t HeaderCount = 256;
  /// Receive window and send buffer of one stream.
  byte_count StreamWindow = kibibytes(256);
};

struct peer_options {
  std::string ListenAddress = "127.0.0.1";
  /// 0 lets the system choose; see `peer_service::port`.
  std::uint16_t ListenPort = 0;
  daemon_id Self;
  /// Shared by all daemons of the fleet. Never logged.
  std::string PeerKey;
  peer_limits Limits;
  /// While streams are open on a connection, it is pinged at this interval.
  duration PingInterval = std::chrono::seconds(1);
  /// A connection with open streams that gives no sign for so long is closed.
  duration SilenceLimit = std::chrono::seconds(3);
  /// Connecting and the exchange of hellos together.
  duration ConnectLimit = std::chrono::seconds(2);
  /// A connection without streams is closed after this time.
  duration IdleLimit = std::chrono::seconds(60);
  std::size_t CommandCapacity = 8'192;
  /// How long a call waits for room in the command ring.
  duration CommandLimit = std::chrono::seconds(1);
  /// Called for each incoming stream; the default resets it.
  stream_handler OnStream = [](const incoming_stream &Incoming) {
    Incoming.Stream.reset();
    return stream_callbacks();
  };
};

} // namespace bw

#endif
