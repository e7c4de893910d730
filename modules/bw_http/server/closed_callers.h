#ifndef BW_HTTP_SERVER_CLOSED_CALLERS_H
#define BW_HTTP_SERVER_CLOSED_CALLERS_H

#include "bw_core/ids/time.h"
#include "bw_resources/budget/close_reason.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace bw {

/// Connections of callers that were closed because of a limit, by reason.
/// Counters are thread-safe.
class closed_callers {
public:
  /// Counts the connection and logs it, with a bound on the lines a second.
  void closed(close_reason Reason, time_point Now);
  std::uint64_t count(close_reason Reason) const {
    return Counts[static_cast<std::size_t>(Reason)].load();
  }

private:
  std::array<std::atomic<std::uint64_t>, CloseReasonCount> Counts{};
  time_point SecondBegan{};
  std::uint32_t LinesInSecond = 0;
  /// Closed connections without a line since the last line.
  std::uint64_t Unlogged = 0;
};

} // namespace bw

#endif
