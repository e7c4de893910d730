#ifndef BW_ENGINE_FLEET_FLEET_VIEW_H
#define BW_ENGINE_FLEET_FLEET_VIEW_H

#include "bw_core/ids/identifiers.h"
#include "bw_membership/hosts/membership_messages.h"
#include "bw_membership/servers/server_directory.h"
#include "bw_routing/ownership/ownership_map.h"
#include "bw_routing/picking/server_picker.h"

#include <map>
#include <optional>
#include <vector>

namespace bw {

struct fleet_view_options {
  daemon_id Self;
  data_centre_id DataCentre;
  std::uint64_t Seed = 1;
};

/// This daemon's view of hosts, backend servers and the ownership of instances.
/// Shared by the two engines of a daemon. Single thread.
class fleet_view {
public:
  explicit fleet_view(fleet_view_options Options);
  fleet_view(const fleet_view &) = delete;
  fleet_view &operator=(const fleet_view &) = delete;

  /// Sets whether this daemon may own instances.
  void setSelfReady(bool IsReady, time_point Now);

  /// Applies membership changes: hosts that joined, left, died or restarted.
  void apply(const std::vector<membership_event> &Events, time_point Now);

  /// Replaces the list of backend servers. Returns the changes.
  std::vector<server_event>
  updateServers(const std::vector<listed_server> &List, time_point Now);
  /// Handles a sign that a backend server is leaving. Returns the changes.
  std::vector<server_event> drainSeen(const drain_sign &Sign, time_point Now);

  void tick(time_point Now);

  /// The latest known incarnation of the daemon on a host; empty if the host
  /// has never been a member.
  std::optional<daemon_id> daemonOf(const host_id &Host) const;
  /// Other hosts that own instances of the service.
  std::vector<host_id> otherOwners(const service_id &Service) const;

  const daemon_id &self() const { return Options.Self; }
  const data_centre_id &dataCentre() const { return Options.DataCentre; }
  const ownership_map &owners() const { return Owners; }
  server_picker &picker() { return Picker; }
  const server_directory &servers() const { return Servers; }

private:
  void apply(const std::vector<server_event> &Events);
  void addServer(const listed_server &Server);
  void removeServer(const backend_server_id &Server);

  fleet_view_options Options;
  ownership_map Owners;
  server_picker Picker;
  server_directory Servers;
  std::map<host_id, daemon_id> Daemons;
};

} // namespace bw

#endif
