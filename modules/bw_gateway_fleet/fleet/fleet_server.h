#ifndef BW_GATEWAY_FLEET_FLEET_FLEET_SERVER_H
#define BW_GATEWAY_FLEET_FLEET_FLEET_SERVER_H

#include "bw_core/random/random_source.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway_fleet/fleet/fleet_options.h"
#include "bw_simulation/time/event_queue.h"

#include <deque>
#include <functional>
#include <memory>

namespace bw {

/// One attempt on its way to, at, or back from a server.
struct fleet_attempt {
  std::size_t Host = 0;
  /// Start of the host that sent it; a restarted host has lost its attempts.
  std::uint64_t HostStart = 0;
  start_attempt Command;
  bool IsCancelled = false;
  /// Called with the outcome when the server has finished with the attempt.
  std::function<void(attempt_outcome, int Status, server_statement)> OnEnd;
};
using fleet_attempt_pointer = std::shared_ptr<fleet_attempt>;

/// A simulated backend server: a few slots, a short queue, its own bursts of
/// failures and injected faults.
class fleet_server {
public:
  fleet_server(const fleet_options &Options, event_queue &Queue,
               random_source &Random, bool IsBursty, time_point Started);

  void receive(const fleet_attempt_pointer &Attempt);
  void crash();
  void fail(double Share, time_point Until);
  void slow(double Factor, time_point Until);
  /// Names a limit in requests per second until then.
  void limit(double Rate, time_point Until);
  void leave() { IsLeaving = true; }
  /// Declines all requests until then, each time for `Pause`.
  void refuse(duration Pause, time_point Until);
  server_statement statement(time_point Now) const;

  bool isUp() const { return IsUp; }
  /// True when the server has had no fault for long enough to count as sound.
  bool isSound(time_point Now) const;
  time_point started() const { return Started; }
  time_point lastArrival() const { return LastArrival; }

private:
  bool isInBurst(time_point Now) const;
  void work(const fleet_attempt_pointer &Attempt);

  const fleet_options &Options;
  event_queue &Queue;
  random_source &Random;
  bool IsUp = true;
  bool IsBursty;
  duration BurstPeriod;
  duration BurstPhase;
  time_point Started;
  time_point LastArrival{};
  time_point FaultEnd{};
  double GrayShare = 0;
  double Slowness = 1;
  bool IsLeaving = false;
  double Limit = 0;
  time_point LimitEnd{};
  duration RefusalPause{};
  time_point RefusalEnd{};
  std::uint32_t Busy = 0;
  std::deque<fleet_attempt_pointer> Waiting;
};

} // namespace bw

#endif
