#ifndef BW_PEER_SERVICE_PEER_SERVICE_H
#define BW_PEER_SERVICE_PEER_SERVICE_H

#include "bw_kernel/clock/runtime_clock.h"
#include "bw_kernel/services/service.h"
#include "bw_peer/service/peer_listen_error.h"
#include "bw_peer/service/peer_options.h"

#include <memory>

namespace bw {

struct peer_counters {
  /// Connections that exist now, in both directions.
  std::uint64_t Connections = 0;
  std::uint64_t Opened = 0;
  std::uint64_t Accepted = 0;
  /// Connections closed for malformed input or a refused hello.
  std::uint64_t Refused = 0;
  std::uint64_t TimedOut = 0;
  std::uint64_t StreamsOpened = 0;
  std::uint64_t StreamsAccepted = 0;
};

/// Streams between daemons over HTTP/2: the server and the client side of one
/// daemon, on one thread with an event loop. One connection for each address,
/// opened on demand and closed when idle.
class peer_service : public service {
public:
  static constexpr std::string_view ServiceName = "peer";

  peer_service(runtime_clock &Clock, peer_options Options);
  ~peer_service() override;

  /// Replaces the hook for incoming streams. Call it before `start`, for
  /// example from another service's `attach`.
  void setOnStream(stream_handler Handler);

  void attach(service_registry &Registry) override;
  /// \throws peer_listen_error
  void start() override;
  /// Closes all connections; open streams get `OnClosed` with `Stopped`.
  void stop() override;

  /// Sends `Head` to the target on a new stream. Thread-safe; returns at
  /// once. `OnClosed` is called in every case, except when the command ring
  /// stayed full for its limit: then the handle has id 0.
  peer_stream open(peer_target Target, wire::Head Head,
                   stream_callbacks Callbacks);

  /// The port that is listened on. Valid after `start`.
  std::uint16_t port() const;

  /// Thread-safe.
  peer_counters counters() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
