#ifndef BW_MEMBERSHIP_DRAIN_DRAIN_STATE_H
#define BW_MEMBERSHIP_DRAIN_DRAIN_STATE_H

#include "bw_core/ids/time.h"

#include <cstddef>

namespace bw {

enum class drain_phase { Serving, Draining, Drained };

struct drain_options {
  /// Minimum time from the start of the stop until the daemon counts as
  /// drained, even with nothing in flight. Requests of hosts that do not know
  /// of the stop yet are then refused as not run instead of being lost. Two
  /// heartbeat intervals and a margin.
  duration Linger = std::chrono::seconds(3);
};

/// State of the daemon's own planned stop. Work in flight is completed however
/// long it takes; only its own deadlines end it early. Not thread-safe.
class drain_state {
public:
  explicit drain_state(drain_options Options = {}) : Options(Options) {}

  /// Starts the stop. Returns true for the first call; the caller must then
  /// announce that the daemon is leaving.
  bool beginStop(time_point Now);

  /// Returns true if new work may start. It counts as in flight until
  /// `workFinished` is called.
  bool startWork();

  void workFinished();

  drain_phase phase(time_point Now) const;

  std::size_t inFlight() const { return InFlight; }

private:
  drain_options Options;
  std::size_t InFlight = 0;
  bool Stopping = false;
  time_point StoppingSince{};
};

} // namespace bw

#endif
