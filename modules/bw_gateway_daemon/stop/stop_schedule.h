#ifndef BW_GATEWAY_DAEMON_STOP_STOP_SCHEDULE_H
#define BW_GATEWAY_DAEMON_STOP_STOP_SCHEDULE_H

#include "bw_core/ids/time.h"

namespace bw {

/// When a planned stop ends, measured from its start.
struct stop_schedule {
  /// All requests have their answers by then.
  duration FinishWithin{};
  /// The answers are written by then, and the services are stopped.
  duration EndWithin{};
};

/// Plans a stop whose process is killed after the grace period.
stop_schedule planStop(duration GracePeriod);

} // namespace bw

#endif
