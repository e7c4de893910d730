#include "bw_limits/callers/caller_limiter.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <bit>

using namespace bw;

namespace {

/// Retry delay for a caller whose rate is 0.
constexpr duration MaxRetryAfter = std::chrono::hours(1);

} // namespace

caller_limiter::caller_limiter(caller_limiter_options Options)
    : Options(std::move(Options)),
      Entries(std::bit_ceil(std::max(this->Options.Capacity, EntriesPerSet))) {}

rate_limit_result caller_limiter::offer(const caller_id &Caller,
                                        time_point Now) {
  const caller_limit Limit = Options.LimitOf(Caller);
  if (Limit.RequestsPerSecond <= 0)
    return {.Allowed = false, .RetryAfter = MaxRetryAfter};
  const double Nanoseconds = 1e9 / Limit.RequestsPerSecond;
  const auto Interval = duration(static_cast<duration::rep>(Nanoseconds));
  const auto Tolerance = duration(
      static_cast<duration::rep>(Nanoseconds * std::max(Limit.Burst, 1.0)));
  entry &Entry = entryOf(stableHash(Caller.value()), Now);
  const time_point FullAt = std::max(Entry.FullAt, Now) + Interval;
  if (FullAt - Now > Tolerance)
    return {.Allowed = false, .RetryAfter = FullAt - Now - Tolerance};
  Entry.FullAt = FullAt;
  return {};
}

// A caller with a full bucket needs no state, so the entry whose bucket is full
// first is evicted with the least error.
caller_limiter::entry &caller_limiter::entryOf(std::uint64_t Key,
                                               time_point Now) {
  Key = std::max<std::uint64_t>(Key, 1);
  const std::size_t Sets = Entries.size() / EntriesPerSet;
  const auto First = Entries.begin() + static_cast<std::ptrdiff_t>(
                                           (Key & (Sets - 1)) * EntriesPerSet);
  const auto End = First + static_cast<std::ptrdiff_t>(EntriesPerSet);
  const auto Known = std::find_if(
      First, End, [&](const entry &Entry) { return Entry.Key == Key; });
  if (Known != End)
    return *Known;
  const auto Replaced =
      std::min_element(First, End, [](const entry &Left, const entry &Right) {
        return Left.FullAt < Right.FullAt;
      });
  *Replaced = {.Key = Key, .FullAt = Now};
  return *Replaced;
}
