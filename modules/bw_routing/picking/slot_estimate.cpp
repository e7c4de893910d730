#include "bw_routing/picking/slot_estimate.h"

using namespace bw;

void slot_estimate::report(float FreeSlots, time_point Now) {
  Free = std::min(FreeSlots, Slots);
  UpdatedAt = Now;
}

void slot_estimate::requestSent(time_point Now, duration Horizon) {
  Free = std::max(at(Now, Horizon) - 1, -Slots);
  UpdatedAt = Now;
}

void slot_estimate::setSlots(float NewSlots) {
  Free += NewSlots - Slots;
  Slots = NewSlots;
}
