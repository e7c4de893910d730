#ifndef BW_DETECTION_REFERENCE_LATENCY_DIGEST_H
#define BW_DETECTION_REFERENCE_LATENCY_DIGEST_H

#include "bw_detection/evidence/evidence_class.h"
#include "bw_detection/evidence/latency_band.h"

#include <cstdint>

namespace bw {

/// Decayed statistics of one kind of request at one instance.
struct kind_digest {
  /// Decayed counts of successful requests by latency band.
  per_latency_band<float> Latencies{};
  /// Decayed counts of the last seconds by class, including requests in flight.
  per_class<float> Recent{};
};

/// Statistics of one instance that are sent to the owners of its peers. Holds
/// decayed totals, so duplicate or reordered delivery does no harm.
struct latency_digest {
  /// Stable hash of the instance id.
  std::uint64_t Source = 0;
  per_kind<kind_digest> Kinds{};
};

} // namespace bw

#endif
