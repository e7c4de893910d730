#ifndef BW_CORE_IDS_TIME_H
#define BW_CORE_IDS_TIME_H

#include <chrono>

namespace bw {

/// Monotonic time as decision modules see it. It has no `now()`: the time is
/// always passed in, so tests and measurements run on virtual time.
struct runtime_time {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<runtime_time>;
  // The standard library fixes this name.
  static constexpr bool is_steady = true; // NOLINT
};

using time_point = runtime_time::time_point;
using duration = runtime_time::duration;

/// Monotonic time that also counts while the host is suspended, unlike
/// `runtime_time`. For bounds that hold for the rest of the world.
struct boot_time {
  using duration = runtime_time::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_time>;
  // The standard library fixes this name.
  static constexpr bool is_steady = true; // NOLINT
};

using boot_time_point = boot_time::time_point;

} // namespace bw

#endif
