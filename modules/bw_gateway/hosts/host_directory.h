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
  gateway_host Self;
  /// A host reports at least once a second; after this silence it counts as
  /// not live.
  duration SilentAfter = std::chrono::milliseconds(2500);
  /// A host that is listed but silent for this long is gone for good.
  duration GoneAfter = std::chrono::seconds(60);
  /// The same for a data centre of which no host is heard: it may be cut off.
  duration DataCentreGoneAfter = std::chrono::minutes(10);
  /// A host that read the list itself goes on to follow the store for this
  /// long.
  duration FollowAfterRead = std::chrono::seconds(3);
  /// Most hosts that one message goes to; among more, random ones get it.
  std::size_t MaxTargets = 128;
  /// Hosts of a data centre that sum up its load and follow the store for it;
  /// two, so that the death of one leaves no gap.
  std::size_t Aggregators = 2;
  /// Hosts that are tried in a data centre whose aggregators are not known.
  std::size_t UnknownTargets = 4;
  /// Between two readings of the list of servers by the first aggregator.
  duration ReadInterval = std::chrono::milliseconds(900);
  /// The other aggregators read when the newest list that they know of is older
  /// than this.
  duration ReadBehindFirst = std::chrono::milliseconds(1050);
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
  /// Of the hosts that the sender knows, itself included.
  list_digest HostsDigest;
};

/// The hosts of the system: who is live, who does what for the others, and whom
/// to ask for what this host lacks. The largest live hosts of a data centre are
/// its aggregators. Not thread-safe.
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

  /// What this host does for its data centre at this time.
  exchange_duty duty(time_point Now) const;
  /// Where load is reported to: the aggregators of the own data centre without
  /// this host, or all hosts there as long as none is heard.
  std::vector<gateway_host> aggregatorsNear(time_point Now,
                                            random_source &Random) const;
  /// The aggregators of the other data centres.
  std::vector<gateway_host> aggregatorsFar(time_point Now,
                                           random_source &Random) const;
  /// All hosts of the own data centre without this one.
  std::vector<gateway_host> hostsNear(random_source &Random) const;
  /// Random hosts of the own and of other data centres. News that also goes
  /// there spreads when the aggregators are dead or cut off.
  std::vector<gateway_host> someHosts(std::size_t Near, std::size_t Far,
                                      random_source &Random) const;

  /// This host follows the store for its data centre: an aggregator, or one
  /// that had to read the list itself a short time ago, since those did not.
  bool followsStore(time_point Now) const;

  /// A live host with a newer configuration, or none.
  std::optional<gateway_host> newerConfiguration(time_point Now) const;
  /// A live host with a newer and different list of servers, or none. One of
  /// the own data centre if there is one.
  std::optional<gateway_host> newerServers(time_point Now) const;

  /// An aggregator of the own data centre that knows other hosts than this
  /// one does, or none.
  std::optional<gateway_host> otherHosts(time_point Now) const;

  /// When the list that this host has was last seen in the store, by any host.
  time_point listConfirmedAt() const;

  /// When this host shall read the list of servers from the store next.
  time_point nextListRead(time_point Now, random_source &Random) const;

  /// Hosts that are gone and that this host shall remove from the store: the
  /// first aggregator does it for its data centre, and for those of which
  /// nothing is heard.
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
  bool isNear(const entry &Entry) const {
    return Entry.Host.DataCentre == Options.Self.DataCentre;
  }
  std::size_t ownRank(time_point Now) const;
  std::vector<gateway_host> atMost(std::vector<gateway_host> Hosts,
                                   std::size_t Count,
                                   random_source &Random) const;
  /// Live aggregators of a data centre, without this host.
  std::vector<gateway_host> aggregatorsOf(const data_centre_id &DataCentre,
                                          time_point Now) const;
  std::vector<gateway_host> hostsOf(const data_centre_id &DataCentre) const;

  host_directory_options Options;
  std::map<host_id, entry> Hosts;
  host_state Own;
  time_point OwnListReadAt{};
  /// When another host last read from the store the list that this host has.
  time_point ListSeenAt{};
  std::optional<time_point> ReadSelfAt;
};

} // namespace bw

#endif
