#ifndef BW_DAEMON_FLEET_FLEET_CONTROL_H
#define BW_DAEMON_FLEET_FLEET_CONTROL_H

#include "bw_configuration/startup/startup_gate.h"
#include "bw_configuration/versions/version_tracker.h"
#include "bw_core/random/random_source.h"
#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/peers/peer_gateway.h"
#include "bw_engine/fleet/fleet_view.h"
#include "bw_membership/hosts/membership_view.h"

#include <functional>
#include <vector>

namespace bw {

struct fleet_control_options {
  daemon_id Self;
  data_centre_id DataCentre;
  start_order Started;
  std::uint64_t Seed = 1;
  /// Read the configuration from the store.
  std::function<void()> ReadStore;
  /// This host watches the store's head, or no longer.
  std::function<void(bool)> SetWatcher = [](bool) {};
  std::function<void(const std::vector<server_event> &, time_point)>
      ServersChanged;
  /// A configuration that a peer handed over comes into force.
  std::function<void(catalogue_pointer)> Apply;
  std::function<void()> OnReady = [] {};
};

/// Which hosts take part, which configuration version is in force, and when
/// this host is ready. Decide thread only.
class fleet_control {
public:
  fleet_control(fleet_view &Fleet, peer_gateway &Peers,
                fleet_control_options Options);
  fleet_control(const fleet_control &) = delete;
  fleet_control &operator=(const fleet_control &) = delete;

  /// Hosts of the settings, which are asked before the host list is known.
  void addSeed(const listed_host &Host);

  void hostsLoaded(const std::vector<host_list_entry> &Hosts, time_point Now);
  void storeAway();
  void headSeen(config_version Version, time_point Now);
  void applied(const catalogue_pointer &Catalogue, time_point Now);

  /// Messages of other daemons; the answer to send back, if any.
  wire::ExchangeReply exchanged(const daemon_id &From,
                                const wire::Exchange &Message, time_point Now);
  wire::FetchReply fetched(const wire::Fetch &Message) const;
  void noticed(const daemon_id &From, const wire::Notice &Message,
               time_point Now);
  void answered(const peer_answered &Event, time_point Now);

  void announceLeaving(time_point Now);
  void tick(time_point Now);

  bool isReady() const { return Gate.isReady(); }
  const membership_view &members() const { return Members; }
  const version_tracker &versions() const { return Versions; }

private:
  void carryOut(const membership_step &Step, time_point Now);
  void carryOut(const version_commands &Commands);
  void send(const membership_message &Message);
  void receive(const daemon_id &From, const std::vector<heartbeat> &Beats,
               config_version Version, bool IsReady, bool WantsReply,
               time_point Now, membership_step &Reply);
  void takeDrainSigns(
      const google::protobuf::RepeatedPtrField<wire::DrainSign> &Signs,
      time_point Now);
  void updatePeers();
  void updateWatcher();
  void becomeReady(time_point Now);
  wire::Exchange exchangeOf(const std::vector<heartbeat> &Beats) const;

  fleet_view &Fleet;
  peer_gateway &Peers;
  fleet_control_options Options;
  random_source Random;
  membership_view Members;
  version_tracker Versions;
  startup_gate Gate;
  catalogue_pointer Catalogue;
  std::vector<listed_host> Seeds;
  time_point LastTick{};
  time_point NextAsk{};
  bool WasReady = false;
  bool IsWatcher = false;
  bool IsLeaving = false;
};

} // namespace bw

#endif
