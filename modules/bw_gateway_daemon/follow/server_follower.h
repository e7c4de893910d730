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
  /// Other hosts are asked for the list first; set if there are any to ask.
  duration FirstReadDelay{};
  /// Pause after a call that was not answered.
  duration RetryPause = std::chrono::milliseconds(250);
  /// A list that takes several calls is read in full this often, and by its
  /// changes in between. What the store keeps from a reading of changes, as it
  /// may while it drops its history, is found by the next full one.
  duration FullReadInterval = std::chrono::seconds(3);
  /// A list that another host has read may turn up within this time.
  duration ShortestPause = std::chrono::milliseconds(50);
};

/// Duty *servers*: reads the platform's list of backend servers when it is this
/// host's turn, or when no other host seems to have a recent one.
class server_follower : public service {
public:
  static constexpr std::string_view ServiceName = "servers";

  server_follower(runtime_clock &Clock, server_follower_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

private:
  duration round();
  duration untilNextRead();
  /// False: the store did not answer.
  bool read();
  bool readAll();
  bool readChanges();

  runtime_clock &Clock;
  server_follower_options Options;
  platform_state *State = nullptr;
  /// The list as last read by this host.
  std::map<backend_server_id, listed_server> Known;
  std::optional<store_revision> KnownRevision;
  std::uint32_t CallsOfLastRead = 1;
  time_point LastFullRead{};
  bool IsAvailable = true;
  bool IsFirstRound = true;
  follower_thread Thread;
};

} // namespace bw

#endif
