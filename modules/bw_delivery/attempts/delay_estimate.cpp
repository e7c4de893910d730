#include "bw_delivery/attempts/delay_estimate.h"

#include <algorithm>

using namespace bw;

duration delay_estimate::observe(sender_time Issued, time_point Now) {
  const duration Offset = Now.time_since_epoch() - duration(Issued.value());
  // A window ends only when a message arrives. The minimum from before a pause
  // of this host therefore remains in use, and the messages that waited during
  // the pause are recognised as late.
  if (!Current || Now - WindowStart > Window) {
    Previous = Current;
    Current = Offset;
    WindowStart = Now;
  }
  Current = std::min(*Current, Offset);
  const duration Fastest = Previous ? std::min(*Previous, *Current) : *Current;
  return Offset - Fastest;
}
