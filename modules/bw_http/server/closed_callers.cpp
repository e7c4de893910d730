#include "bw_http/server/closed_callers.h"

#include "bw_kernel/log/log_event.h"

using namespace bw;

namespace {

// A crowd of clients must not fill the log; lines beyond this are counted.
constexpr std::uint32_t LinesPerSecond = 10;

} // namespace

void closed_callers::closed(close_reason Reason, time_point Now) {
  ++Counts[static_cast<std::size_t>(Reason)];
  if (Now - SecondBegan >= std::chrono::seconds(1)) {
    SecondBegan = Now;
    LinesInSecond = 0;
  }
  if (LinesInSecond >= LinesPerSecond) {
    ++Unlogged;
    return;
  }
  ++LinesInSecond;
  logEvent(log_event::CallerClosed,
           {{"reason", std::string(closeReasonName(Reason))},
            {"unlogged", std::to_string(Unlogged)}});
  Unlogged = 0;
}
