#include "bw_gateway_daemon/stop/stop_schedule.h"

#include <algorithm>

using namespace bw;

namespace {

// Time reserved for shutting down after the last request.
constexpr duration ShutdownMargin = std::chrono::milliseconds(500);
// Work that was taken before the stop may be cut only in the last sixth of the
// grace period, so a short one has a smaller margin.
constexpr int MinGraceShare = 6;
// Part of the margin in which the last answers are written to their callers.
constexpr int FlushShare = 5;

} // namespace

stop_schedule bw::planStop(duration GracePeriod) {
  const duration Margin =
      std::min<duration>(ShutdownMargin, GracePeriod / MinGraceShare);
  const duration FinishWithin = GracePeriod - Margin;
  return {.FinishWithin = FinishWithin,
          .EndWithin = FinishWithin + Margin / FlushShare};
}
