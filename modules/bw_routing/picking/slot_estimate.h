#ifndef BW_ROUTING_PICKING_SLOT_ESTIMATE_H
#define BW_ROUTING_PICKING_SLOT_ESTIMATE_H

#include "bw_core/ids/time.h"

#include <algorithm>

namespace bw {

/// Estimate of an instance's free slots, kept by an entry host. Initially all
/// slots count as free. Each answer replaces the estimate with the number that
/// it reports, and each request sent reduces it by one. Without answers it
/// returns linearly to all slots within a horizon, since requests of other
/// entry hosts change the real number unobserved.
class slot_estimate {
public:
  explicit slot_estimate(float Slots) : Slots(Slots), Free(Slots) {}

  float at(time_point Now, duration Horizon) const {
    const duration Age = std::clamp(Now - UpdatedAt, duration(0), Horizon);
    const float Recovered =
        static_cast<float>(Age.count()) / static_cast<float>(Horizon.count());
    return Free + (Slots - Free) * Recovered;
  }
  void report(float FreeSlots, time_point Now);
  void requestSent(time_point Now, duration Horizon);
  void setSlots(float NewSlots);
  float slots() const { return Slots; }

private:
  float Slots;
  float Free;
  time_point UpdatedAt;
};

} // namespace bw

#endif
