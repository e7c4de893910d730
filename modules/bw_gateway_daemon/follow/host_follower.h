#ifndef BW_GATEWAY_DAEMON_FOLLOW_HOST_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_HOST_FOLLOWER_H

#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

namespace bw {

struct host_follower_options {
  platform_source Source;
  /// Interval between reads of the host list. Such a read costs a tenth of a
  /// normal call, as it accepts data that is a few seconds old.
  duration Interval = std::chrono::seconds(5);
  /// The same for the first reads after the start, as all hosts start at the
  /// same time.
  duration InitialInterval = std::chrono::milliseconds(1000);
  int InitialReads = 4;
  duration RetryPause = std::chrono::milliseconds(500);
};

/// Service *hosts*: registers this host in the platform's store, follows the
/// list of other hosts, and removes hosts that are gone.
class host_follower : public service {
public:
  static constexpr std::string_view ServiceName = "hosts";

  host_follower(runtime_clock &Clock, host_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  bool isDelegated();
  duration poll();
  void removeGoneHosts();

  runtime_clock &Clock;
  host_follower_options Options;
  platform_state *State = nullptr;
  int Reads = 0;
  /// Reads left before an unlisted host announces itself again; reads shortly
  /// after an announcement may return old data.
  int ReadsUntilAnnouncement = 0;
  /// Era of the last reading.
  store_era ReadEra;
  follower_thread Thread;
};

} // namespace bw

#endif
