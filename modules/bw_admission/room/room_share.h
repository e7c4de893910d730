#ifndef BW_ADMISSION_ROOM_ROOM_SHARE_H
#define BW_ADMISSION_ROOM_ROOM_SHARE_H

#include "bw_core/ids/time.h"

namespace bw {

/// Load of all usable servers of a service at one moment.
struct service_load {
  double Slots = 0;
  /// Requests of all hosts in flight there.
  double InFlight = 0;
  /// Requests of this host in flight there.
  double Own = 0;
  double Servers = 0;
  /// Standard deviation of the true load of a server, summed over all.
  double Uncertainty = 0;
  /// Hosts that share the servers.
  double Hosts = 1;
  /// Usual time of a request without queueing; zero if it is not known.
  duration ServiceTime{};
};

/// The part of the free capacity of a service that one host may use until it
/// hears of the load of other hosts again. Not thread-safe.
class room_share {
public:
  /// Sets the load that was reported. Reports arrive once in an `Interval`.
  /// `Fraction`, random in [0, 1), decides on a part of a request.
  void update(const service_load &Load, duration Interval, double Fraction,
              time_point Now);

  /// True if this host may start another request while it has `Own` in flight
  /// and each slot of the service may have this many requests.
  bool allows(double Own, double RequestsPerSlot, time_point Now) const;
  const service_load &load() const { return Load; }

private:
  service_load Load;
  duration Interval{};
  double Fraction = 0;
  time_point At{};
};

} // namespace bw

#endif
