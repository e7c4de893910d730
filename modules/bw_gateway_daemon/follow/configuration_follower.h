#ifndef BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H

#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

namespace bw {

struct configuration_follower_options {
  platform_source Source;
  /// Longest wait of one watch, after which the configuration is read anew.
  /// Of the two sites' 32 hosts, one then reads twice a second, and tells the
  /// others what it finds.
  std::chrono::milliseconds WatchTime{15'000};
  /// Pause after a call that was not answered.
  duration RetryPause = std::chrono::milliseconds(250);
};

/// Duty *configuration*: follows the operators' configuration in the store by
/// a watch.
class configuration_follower : public service {
public:
  static constexpr std::string_view ServiceName = "configuration";

  configuration_follower(runtime_clock &Clock,
                         configuration_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  duration round();

  configuration_follower_options Options;
  platform_state *State = nullptr;
  /// Set while the watch can go on from there.
  std::optional<store_revision> Watched;
  bool IsAvailable = true;
  follower_thread Thread;
};

} // namespace bw

#endif
