#ifndef BW_STAND_INS_RELAY_RELAY_FAULTS_H
#define BW_STAND_INS_RELAY_RELAY_FAULTS_H

#include "bw_core/ids/time.h"

#include <cstdint>
#include <optional>

namespace bw {

/// `Up` runs from the side that connects to the relay to the target.
enum class relay_direction { Up, Down };

/// Faults of one direction. Probabilities are per segment of 1,460 bytes.
struct direction_faults {
  duration Delay{};
  /// Up to this much is added to the delay, uniformly.
  duration Variation{};
  double StallProbability = 0;
  /// How long a stall holds the direction up.
  duration StallTime = std::chrono::milliseconds(200);
  double CutProbability = 0;
  /// Nothing passes while it is set; what is held back passes afterwards.
  bool Silent = false;
  /// Bytes a second; 0 means no limit.
  std::uint64_t Rate = 0;
  /// A connection is cut when so many bytes have passed.
  std::optional<std::uint64_t> CutAfter;
};

struct relay_faults {
  direction_faults Up;
  direction_faults Down;
};

} // namespace bw

#endif
