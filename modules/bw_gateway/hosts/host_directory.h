#ifndef BW_GATEWAY_HOSTS_HOST_DIRECTORY_H
#define BW_GATEWAY_HOSTS_HOST_DIRECTORY_H

#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/hosts/gateway_host.h"
#include "bw_gateway/messages/gateway_events.h"

#include <map>
#include <optional>
#include <vector>

namespace bw {

struct host_directory_options {
  host_id Self;
  data_centre_id DataCentre;
  /// A host reports at least once a second; after this silence it counts as
  /// not live.
  duration SilentAfter = std::chrono::milliseconds(2500);
  /// A host that is listed but silent for this long is gone for good.
  duration GoneAfter = std::chrono::seconds(60);
  /// A host that read the list itself goes on to follow the store for this
  /// long.
  duration FollowAfterRead = std::chrono::seconds(3);
  /// Most hosts that one report goes to; among more, random ones get it.
  std::size_t MaxTargets = 24;
  /// Hosts of a data centre that read the server list for all of it; two, so
  /// that the death of one leaves no gap.
  std::size_t ListReaders = 2;
  /// Between two readings of a reader.
  duration ReadInterval = std::chrono::milliseconds(900);
  /// Others read too when the newest list they know of is older than this.
  duration ReadWhenOlder = std::chrono::milliseconds(1200);
  /// Spread of these readings, so that not all hosts read at once.
  duration ReadSpread = std::chrono::milliseconds(300);
};

/// What a report tells of its sender.
struct host_state {
  config_version Version;
  store_revision ListRevision;
  list_digest ListDigest;
  /// Since the sender's list was read from the store, by whomever.
  duration ListAge = duration::max();
};

/// The hosts of the system: who is live, who reports to whom, who reads the
/// list of servers, and whom to ask for what this host lacks. Not thread-safe.
class host_directory {
public:
  explicit host_directory(host_directory_options Options);

  /// The hosts that made themselves known to the platform.
  void listed(const std::vector<gateway_host> &Hosts, time_point Now);
  void heard(const host_id &Host, const host_state &State, time_point Now);
  /// What this host itself has.
  void ownState(const host_state &State, time_point Now);
  /// This host has read the list from the store.
  void listRead(time_point Now) { ReadSelfAt = Now; }

  /// Where reports go, without this host.
  std::vector<gateway_host> targetsNear(random_source &Random) const;
  std::vector<gateway_host> targetsFar(random_source &Random) const;

  /// This host follows the store for its data centre: one of the first live
  /// hosts, or one that had to read the list itself a short time ago, since
  /// those did not.
  bool followsStore(time_point Now) const;

  /// This host tells other data centres of the load of its own: the first live
  /// host does it for all.
  bool isSummarizer(time_point Now) const { return ownRank(Now) == 0; }

  /// A live host with a newer configuration, or none.
  std::optional<gateway_host> newerConfiguration(time_point Now) const;
  /// A live host with a newer and different list of servers, or none. One of
  /// the own data centre if there is one.
  std::optional<gateway_host> newerServers(time_point Now) const;

  /// When the list that this host has was last seen in the store, by any host.
  time_point listConfirmedAt(time_point Now) const;

  /// When this host shall read the list of servers from the store next.
  time_point nextListRead(time_point Now, random_source &Random) const;

  /// Hosts that are gone and that this host shall remove from the store: the
  /// first live host does it for all.
  std::vector<host_id> goneHosts(time_point Now) const;

  /// Live hosts with this one.
  std::size_t liveHosts(time_point Now) const;
  std::size_t listedHosts() const { return Hosts.size(); }

private:
  struct entry {
    gateway_host Host;
    host_state State;
    /// When the sender's list was read, by this host's clock.
    time_point ListReadAt{};
    std::optional<time_point> HeardAt;
    time_point ListedAt{};
  };

  bool isLive(const entry &Entry, time_point Now) const;
  std::size_t ownRank(time_point Now) const;
  std::vector<gateway_host> targets(bool IsNear, random_source &Random) const;

  host_directory_options Options;
  std::map<host_id, entry> Hosts;
  host_state Own;
  time_point OwnListReadAt{};
  std::optional<time_point> ReadSelfAt;
};

} // namespace bw

#endif
