#ifndef BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H

#include "bw_core/random/random_source.h"
#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

namespace bw {

struct configuration_follower_options {
  platform_source Source;
  /// A watch waits for a random time between these. Hosts then begin new
  /// watches at different times, and the first that does so after a change that
  /// no watch told finds it and tells the others.
  /// Only a few hosts watch, so each must find such a change within the three
  /// seconds in which the platform counts itself as not yet stable.
  std::chrono::milliseconds ShortestWatch{1'000};
  std::chrono::milliseconds LongestWatch{2'500};
  std::uint64_t Seed = 1;
  /// A host that does not follow the store looks again after this time whether
  /// it has to.
  duration IdlePause = std::chrono::milliseconds(400);
  /// Pause after a call that was not answered.
  duration RetryPause = std::chrono::milliseconds(250);
};

/// Duty *configuration*: follows the operators' configuration in the store by
/// a watch, if this host is one that does so for its data centre.
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
  bool isOthersDuty();
  std::chrono::milliseconds watchTime();

  runtime_clock &Clock;
  configuration_follower_options Options;
  random_source Random;
  platform_state *State = nullptr;
  /// Set while the watch can go on from there.
  std::optional<store_revision> Watched;
  bool IsAvailable = true;
  follower_thread Thread;
};

} // namespace bw

#endif
