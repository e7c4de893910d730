#ifndef BW_STAND_INS_RELAY_FAULT_SCHEDULE_H
#define BW_STAND_INS_RELAY_FAULT_SCHEDULE_H

#include "bw_core/random/random_source.h"
#include "bw_stand_ins/relay/relay_faults.h"

#include <cstddef>

namespace bw {

/// Decides when bytes of one direction of one connection pass. Chance depends
/// on the seed and the position in the stream alone, not on how the bytes are
/// split into reads.
class fault_schedule {
public:
  explicit fault_schedule(std::uint64_t Seed) : Random(Seed) {}

  struct verdict {
    time_point Due;
    /// How many of the bytes pass.
    std::size_t Pass = 0;
    /// The connection is cut after them.
    bool Cut = false;
  };

  /// Judges the next `Size` bytes of the stream.
  verdict judge(const direction_faults &Faults, time_point Now,
                std::size_t Size);

  /// When the end of the stream passes.
  time_point endDue(const direction_faults &Faults, time_point Now);

  /// The largest piece to judge at once, so that a low rate gives a slow drip
  /// and not rare bursts.
  static std::size_t pieceLimit(const direction_faults &Faults);

private:
  struct chance {
    duration Delay{};
    /// Position in the stream.
    std::optional<std::uint64_t> CutAt;
  };

  chance drawSegments(const direction_faults &Faults, std::size_t Size);

  random_source Random;
  std::uint64_t Position = 0;
  std::uint64_t DrawnSegments = 0;
  time_point LastDue{};
  time_point RateFree{};
};

} // namespace bw

#endif
