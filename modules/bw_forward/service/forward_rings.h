#ifndef BW_FORWARD_SERVICE_FORWARD_RINGS_H
#define BW_FORWARD_SERVICE_FORWARD_RINGS_H

#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_kernel/rings/bounded_ring.h"
#include "bw_kernel/services/service.h"

namespace bw {

using gateway_event_ring = bounded_ring<gateway_event>;
using gateway_command_ring = bounded_ring<gateway_command>;

/// Interface of the decide service as seen by the other services.
class gateway_event_sink : public service {
public:
  static constexpr std::string_view ServiceName = "gateway_decide";
  using service::service;

  /// The ring into which the other services push their events.
  virtual gateway_event_ring &events() = 0;
};

} // namespace bw

#endif
