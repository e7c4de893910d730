#include "bw_gateway/hosts/transfer_pacer.h"

#include <algorithm>

using namespace bw;

namespace {

// Transfers may start while the earlier ones need this long to complete. Small
// items pass together; a large one keeps the link for itself.
constexpr duration MaxBacklog = std::chrono::milliseconds(100);

} // namespace

bool transfer_pacer::tryStart(byte_count Size, time_point Now) {
  if (Options.LinkBytesPerSecond.value() == 0)
    return true;
  if (BusyUntil > Now + MaxBacklog)
    return false;
  const double Seconds =
      double(Size.value()) /
      (double(Options.LinkBytesPerSecond.value()) * Options.LinkShare.value());
  BusyUntil =
      std::max(BusyUntil, Now) + std::chrono::duration_cast<duration>(
                                     std::chrono::duration<double>(Seconds));
  return true;
}
