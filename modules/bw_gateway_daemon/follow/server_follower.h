#ifndef BW_GATEWAY_DAEMON_FOLLOW_SERVER_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_SERVER_FOLLOWER_H

#include "bw_forward/service/forward_rings.h"
#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"

namespace bw {

struct server_follower_options {
  platform_source Source;
  /// Between two readings of the list. A server that leaves must be known to
  /// all hosts within the platform's bound.
  duration Interval = std::chrono::milliseconds(800);
  duration RetryPause = std::chrono::milliseconds(250);
};

/// Duty *servers*: reads the platform's list of backend servers again and
/// again, and hands it to the decide duty when it has changed.
class server_follower : public service {
public:
  static constexpr std::string_view ServiceName = "servers";

  server_follower(runtime_clock &Clock, server_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  duration round();

  server_follower_options Options;
  gateway_event_ring *Decide = nullptr;
  bool IsAvailable = true;
  follower_thread Thread;
};

} // namespace bw

#endif
