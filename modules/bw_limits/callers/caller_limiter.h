#ifndef BW_LIMITS_CALLERS_CALLER_LIMITER_H
#define BW_LIMITS_CALLERS_CALLER_LIMITER_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bw {

struct caller_limit {
  /// Rate at this host; 0 refuses every request.
  double RequestsPerSecond = 100;
  /// Requests that are allowed at once.
  double Burst = 100;
};

struct caller_limiter_options {
  /// Maximum number of callers tracked, rounded up to a power of two. Beyond
  /// it, the caller closest to its full burst is evicted.
  std::size_t Capacity = 65'536;
  std::function<caller_limit(const caller_id &)> LimitOf =
      [](const caller_id &) { return caller_limit{}; };
};

struct rate_limit_result {
  bool Allowed = true;
  /// For a refused request, the time until the next one would be allowed.
  duration RetryAfter{0};
};

/// Limits the request rate of each caller using the generic cell rate
/// algorithm. Memory is allocated on construction: 16 bytes per caller of the
/// capacity.
class caller_limiter {
public:
  explicit caller_limiter(caller_limiter_options Options = {});

  rate_limit_result offer(const caller_id &Caller, time_point Now);

  std::size_t capacity() const { return Entries.size(); }

private:
  /// Entries per set of this set-associative table; the hash of a caller
  /// selects its set.
  static constexpr std::size_t EntriesPerSet = 8;

  struct entry {
    /// 0 marks an unused entry.
    std::uint64_t Key = 0;
    /// Time when the caller's bucket is full again.
    time_point FullAt = time_point::min();
  };

  entry &entryOf(std::uint64_t Key, time_point Now);

  caller_limiter_options Options;
  std::vector<entry> Entries;
};

} // namespace bw

#endif
