#ifndef BW_ADMISSION_ROOM_ROOM_ESTIMATE_H
#define BW_ADMISSION_ROOM_ROOM_ESTIMATE_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

namespace bw {

/// Load of one server as far as it is known.
struct server_load {
  slot_count Slots{1};
  /// Requests of all hosts in flight there.
  double InFlight = 0;
  /// Standard deviation of the true number from `InFlight`.
  double Uncertainty = 0;

  /// Requests in flight for each slot.
  double perSlot() const;
};

/// Estimates how many requests a server of one service takes at a time. Servers
/// run as many as they have slots, queue some more and decline the rest; the
/// length of their queues is learned from what they accept and decline. Not
/// thread-safe.
class room_estimate {
public:
  /// Records that a server declined a request. `Load` is its load when the
  /// request was sent, without that request.
  void recordDeclined(const server_load &Load);
  /// The same for a request that a server accepted.
  void recordAccepted(const server_load &Load);

  /// Returns the number of requests that a server queues for each slot.
  double queuePerSlot() const { return QueuePerSlot; }

  /// Returns how many requests each slot may have, for a request of this grade:
  /// from 0, which may use the whole queue, to 1, which may use the slots only.
  /// The latter may exceed the slots by the uncertainty of the load.
  double limitPerSlot(double Grade, double UncertaintyPerSlot) const;
  /// True if the server may get another request of this grade.
  bool hasRoom(const server_load &Load, double Grade) const;

private:
  /// Initially, as many requests wait as run.
  double QueuePerSlot = 1;
};

/// Time for which a request waits in the queue of a server with this load,
/// which runs requests of this length.
duration expectedQueueing(const server_load &Load, duration ServiceTime);

} // namespace bw

#endif
