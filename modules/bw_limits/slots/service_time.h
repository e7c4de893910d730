#ifndef BW_LIMITS_SLOTS_SERVICE_TIME_H
#define BW_LIMITS_SLOTS_SERVICE_TIME_H

#include "bw_core/ids/time.h"

namespace bw {

/// Exponentially weighted mean of the time that requests hold a slot.
class service_time {
public:
  explicit service_time(duration Initial) : Mean(Initial) {}

  void record(duration Sample);
  duration mean() const { return Mean; }

private:
  duration Mean;
  bool Recorded = false;
};

} // namespace bw

#endif
