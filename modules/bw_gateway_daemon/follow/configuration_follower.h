#ifndef BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_FOLLOWER_H

#include "bw_core/random/random_source.h"
#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

namespace bw {

struct configuration_follower_options {
  platform_source Source;
  /// Bounds of the random duration of a watch. Hosts thus start new watches at
  /// different times; the first one to do so after a change that no watch
  /// reported detects it and notifies the others. Only a few hosts watch, so
  /// each must detect such a change within the three seconds in which the
  /// platform counts as not yet stable.
  std::chrono::milliseconds MinWatchTime{1'000};
  std::chrono::milliseconds MaxWatchTime{2'500};
  std::uint64_t Seed = 1;
  /// Interval at which a host that does not follow the store checks whether it
  /// must.
  duration IdlePause = std::chrono::milliseconds(400);
  /// Pause after a call without a response.
  duration RetryPause = std::chrono::milliseconds(250);
  /// Called for each refused revision of the configuration.
  std::function<void(const configuration_refusal &)> OnRefused =
      [](const configuration_refusal &) {};
};

/// Service *configuration*: watches the operators' configuration in the store
/// if this host follows the store for its data centre.
class configuration_follower : public service {
public:
  static constexpr std::string_view ServiceName = "configuration";

  configuration_follower(runtime_clock &Clock,
                         configuration_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  duration poll();
  /// Calls the store. An answer from before a known era counts as none, and one
  /// that does not continue the watched history as the loss of it.
  configuration_watch call(bool IsFollowing);
  /// Puts a configuration in force and notes where the next watch starts.
  duration passOtherChanges(const configuration_watch &Result, bool IsRead,
                            boot_time_point SentAt);
  void applyChange(const configuration_watch &Read);
  /// True if this host follows the store for others, or has no configuration.
  bool isFollowing();
  std::chrono::milliseconds watchTime();
  duration pauseAfterCall(bool IsFollowing);
  void recordProof(const configuration_watch &Result, bool IsRead,
                   boot_time_point SentAt);

  runtime_clock &Clock;
  configuration_follower_options Options;
  random_source Random;
  platform_state *State = nullptr;
  /// The position from which to continue the watch; none if it must be read.
  std::optional<store_position> Watched;
  /// Set after changes of other writers: when the listing must be read again.
  std::optional<time_point> RereadAt;
  /// The newest valid version at that position; none if it is not known.
  std::optional<config_version> WatchedVersion;
  bool IsAvailable = true;
  refusal_reporter Refusals;
  follower_thread Thread;
};

} // namespace bw

#endif
