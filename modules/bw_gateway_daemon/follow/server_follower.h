#ifndef BW_GATEWAY_DAEMON_FOLLOW_SERVER_FOLLOWER_H
#define BW_GATEWAY_DAEMON_FOLLOW_SERVER_FOLLOWER_H

#include "bw_gateway_daemon/follow/follower_thread.h"
#include "bw_gateway_daemon/follow/platform_source.h"
#include "bw_gateway_daemon/follow/platform_state.h"

#include <map>
#include <optional>

namespace bw {

struct server_follower_options {
  platform_source Source;
  /// Delay of the first read, so that the list can be fetched from other hosts
  /// first; zero if there are none.
  duration FirstReadDelay{};
  /// Pause after a call without a response.
  duration RetryPause = std::chrono::milliseconds(250);
  /// Interval of full reads for a list that needs several calls; only changes
  /// are read in between. The store may omit changes while it discards its
  /// history; the next full read finds them.
  duration FullReadInterval = std::chrono::seconds(3);
  /// A longer pause is waited out, as a list read by another host may arrive
  /// meanwhile; a pause up to this is skipped.
  duration MinPause = std::chrono::milliseconds(50);
};

/// Service *servers*: reads the platform's list of backend servers when it is
/// this host's turn, or when no other host appears to have a recent one.
class server_follower : public service {
public:
  static constexpr std::string_view ServiceName = "servers";

  server_follower(runtime_clock &Clock, server_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  duration poll();
  duration untilNextRead();
  /// Returns false if the store did not respond, or answered as of an earlier
  /// era.
  bool read();
  bool readAll();
  bool readChanges();
  void offer(servers_listed List);

  runtime_clock &Clock;
  server_follower_options Options;
  platform_state *State = nullptr;
  /// The list as last read by this host from the store.
  std::map<backend_server_id, listed_server> Known;
  std::optional<store_position> KnownPosition;
  /// The list of the last reading was older than the one in use.
  bool IsOutdated = false;
  std::uint32_t CallsOfLastRead = 1;
  time_point NextFullRead{};
  duration TimeOfFullRead{};
  /// More pages of the list follow.
  bool IsReadingOn = false;
  bool IsAvailable = true;
  bool IsFirstPoll = true;
  follower_thread Thread;
};

} // namespace bw

#endif
