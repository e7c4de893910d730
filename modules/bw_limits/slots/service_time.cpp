#include "bw_limits/slots/service_time.h"

using namespace bw;

void service_time::record(duration Sample) {
  // A weight of 1/8 follows a change of load within about 20 requests, which
  // takes a few seconds for an instance with 2 slots.
  constexpr int Divisor = 8;
  Mean = Recorded ? Mean + (Sample - Mean) / Divisor : Sample;
  Recorded = true;
}
