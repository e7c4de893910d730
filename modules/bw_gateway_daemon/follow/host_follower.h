#ifndef BW_GATEWAY_DAEMON_FOLLOW_HOST_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_HOST_FOLLOWER_H

#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

namespace bw {

struct host_follower_options {
  platform_source Source;
  /// Between two readings of the hosts; they cost a tenth of a usual call,
  /// since they may be some seconds old.
  duration Interval = std::chrono::seconds(5);
  /// The same after the start, for the first readings: all hosts start
  /// together.
  duration FirstInterval = std::chrono::milliseconds(1000);
  int FirstReadings = 4;
  duration RetryPause = std::chrono::milliseconds(500);
};

/// Duty *hosts*: makes this host known in the platform's store, follows which
/// others are, and removes those that are gone.
class host_follower : public service {
public:
  static constexpr std::string_view ServiceName = "hosts";

  host_follower(runtime_clock &Clock, host_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  bool isOthersDuty();
  duration round();
  void removeGone();

  runtime_clock &Clock;
  host_follower_options Options;
  platform_state *State = nullptr;
  int Readings = 0;
  /// A host that is not listed announces itself, then waits for old readings
  /// to pass.
  int ReadingsUntilAnnounced = 0;
  follower_thread Thread;
};

} // namespace bw

#endif
