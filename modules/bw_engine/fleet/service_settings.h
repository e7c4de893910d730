#ifndef BW_ENGINE_FLEET_SERVICE_SETTINGS_H
#define BW_ENGINE_FLEET_SERVICE_SETTINGS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"
#include "bw_detection/evidence/detection_options.h"
#include "bw_detection/evidence/evidence_class.h"

#include <cstdint>
#include <vector>

namespace bw {

/// Settings of one service from the configuration.
struct service_settings {
  service_id Name;
  /// Minimum share of the instances that ejection must leave in use.
  ratio Floor{0.8};
  /// Maximum number of requests that wait for one instance.
  std::uint32_t QueueCapacity = 64;
  detection_options Detection;
  /// Request kinds of the service's routes. Digests refer to kinds by position,
  /// so the order must be the same on every host.
  std::vector<request_kind> Kinds;

  /// Position of a kind in `Kinds`; unknown kinds share the last index.
  kind_index kindIndex(const request_kind &Kind) const;
};

} // namespace bw

#endif
