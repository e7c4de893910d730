#ifndef BW_FORWARD_SERVICE_FORWARD_SERVICE_H
#define BW_FORWARD_SERVICE_FORWARD_SERVICE_H

#include "bw_core/errors/error.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_forward/service/forward_counters.h"
#include "bw_forward/service/forward_rings.h"
#include "bw_gateway/messages/ring_bounds.h"
#include "bw_kernel/services/service.h"
#include "bw_resources/budget/budget_options.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bw {

struct forward_service_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  relay_headers Headers;
  /// Request and response bodies up to this size are buffered completely.
  byte_count BufferLimit = kibibytes(256);
  std::size_t CommandCapacity = CommandRingCapacity;
  /// What this process may use, for all connections together.
  process_limits Limits;
  /// Delay between the start of a planned stop and the closing of idle caller
  /// connections. By then the platform's load balancer has detected that this
  /// host is not ready and does not route the callers back to it.
  duration CloseIdleAfter = std::chrono::milliseconds(2200);
  /// Delay between the start of a planned stop and the end of accepting new
  /// connections.
  duration AcceptUntil = std::chrono::milliseconds(3000);
  /// Delay between the end of accepting and the closing of connections that
  /// have sent no request since.
  duration CloseUnusedAfter = std::chrono::milliseconds(500);
};

/// Service *forward*: handles all connections of callers and to backend servers
/// on one thread with an event loop, so that bodies never cross threads.
class forward_service : public service {
public:
  static constexpr std::string_view ServiceName = "forward";

  forward_service(runtime_clock &Clock, forward_service_options Options);
  ~forward_service() override;

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  /// The ring that receives the decisions. Thread-safe.
  gateway_command_ring &commands();
  const forward_counters &counters() const;
  std::uint16_t port() const;

  /// Begins a planned stop: finishes open requests and closes caller
  /// connections at the times set in the options. Thread-safe.
  void beginStop();
  /// True when a planned stop has closed all caller connections. Thread-safe.
  bool isDrained() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
