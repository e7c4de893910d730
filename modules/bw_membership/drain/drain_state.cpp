#include "bw_membership/drain/drain_state.h"

#include <cassert>

using namespace bw;

bool drain_state::beginStop(time_point Now) {
  if (Stopping)
    return false;
  Stopping = true;
  StoppingSince = Now;
  return true;
}

bool drain_state::startWork() {
  if (Stopping)
    return false;
  ++InFlight;
  return true;
}

void drain_state::workFinished() {
  assert(InFlight > 0);
  --InFlight;
}

drain_phase drain_state::phase(time_point Now) const {
  if (!Stopping)
    return drain_phase::Serving;
  const bool LingerElapsed = Now - StoppingSince >= Options.Linger;
  return InFlight == 0 && LingerElapsed ? drain_phase::Drained
                                        : drain_phase::Draining;
}
