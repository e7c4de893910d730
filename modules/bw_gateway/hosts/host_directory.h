#ifndef BW_GATEWAY_HOSTS_HOST_DIRECTORY_H
#define BW_GATEWAY_HOSTS_HOST_DIRECTORY_H

#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/hosts/gateway_host.h"
#include "bw_gateway/messages/gateway_events.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bw {

struct host_directory_options {
  gateway_host Self;
  /// A host counts as live until no report has arrived for this long. Hosts
  /// report at least once a second.
  duration LivenessTimeout = std::chrono::milliseconds(2500);
  /// A host that hears less than half of the listed hosts of its data centre
  /// sends no sums of their load for this long after it got its first list. The
  /// others list a new host within 3 s and report to it within another second.
  duration InformedAfter = std::chrono::seconds(4);
  /// A listed host without reports for this long is removed from the store.
  duration RemoveAfter = std::chrono::seconds(60);
  /// Removal time for the hosts of a data centre none of whose hosts report,
  /// as it may only be partitioned from this one.
  duration DataCentreRemoveAfter = std::chrono::minutes(10);
  /// A host that read the server list itself keeps following the store for this
  /// long.
  duration FollowAfterRead = std::chrono::seconds(3);
  /// Maximum number of receivers of one message; a random subset is chosen
  /// beyond it.
  std::size_t MaxTargets = 128;
  /// Number of hosts of a data centre that aggregate its load. Those of one
  /// data centre follow the store for all hosts. With two, the failure of one
  /// leaves no gap.
  std::size_t Aggregators = 2;
  /// Number of data centres, those that rank first, whose first aggregators
  /// follow the configuration. A version that is written while all aggregators
  /// of one data centre are down is then still noticed at once.
  std::size_t ConfigurationDataCentres = 3;
  /// Number of random hosts that are also sent messages in a data centre whose
  /// aggregators are unknown.
  std::size_t FallbackTargets = 4;
  /// Interval at which the first host that follows the store reads the server
  /// list.
  duration ReadInterval = std::chrono::milliseconds(900);
  /// The other aggregators of its data centre read the server list when theirs
  /// was last confirmed longer ago than this.
  duration BackupReadAge = std::chrono::milliseconds(1050);
  /// The same for the first aggregators of other data centres, which then do
  /// not hear of those that follow the store.
  duration RemoteBackupReadAge = std::chrono::milliseconds(1130);
  /// Hosts that are not aggregators read the server list when theirs was last
  /// confirmed longer ago than this.
  duration FallbackReadAge = std::chrono::milliseconds(1200);
  /// Hosts from which a fetch failed are avoided for this long. A busy host is
  /// then free again.
  duration FetchRetryPause = std::chrono::milliseconds(250);
  /// Random delay added for these hosts, so that they do not all read at once.
  duration ReadSpread = std::chrono::milliseconds(300);
};

/// State of a host, as carried by its reports.
struct host_state {
  config_version Version;
  /// Position at which the sender's server list was read.
  store_position ListPosition;
  list_digest ListDigest;
  /// Time since the sender's server list was read from the store, by any host.
  duration ListAge = duration::max();
  /// Digest of the host list that the sender knows, including itself.
  list_digest HostsDigest;
  /// Time since a list equal to the sender's was read from the store by the
  /// sender or by a host that reported it to the sender.
  duration ConfirmedAge = duration::max();
  /// Newest era of the store that the sender knows.
  store_era Era = {};
};

/// Tracks the hosts of the system: which are live, which are aggregators, and
/// which can supply a newer configuration, server list or host list. The live
/// hosts with the largest processor share are the aggregators of their data
/// centre. Not thread-safe.
class host_directory {
public:
  explicit host_directory(host_directory_options Options);

  /// Replaces the known hosts by those registered with the platform.
  void setListedHosts(const std::vector<gateway_host> &Hosts, time_point Now);
  /// Records the state from a report. Reports of unlisted hosts are ignored.
  /// Returns true if the host has read the own server list from the store a
  /// good while after the reading known before.
  bool recordReport(const host_id &Host, const host_state &State,
                    time_point Now);
  /// Sets the state of this host.
  void setOwnState(const host_state &State, time_point Now);
  /// Records that this host has read the server list from the store.
  void recordListRead(time_point Now) { StoreReadAt = Now; }

  /// Returns the current role of this host in its data centre.
  exchange_duty duty(time_point Now) const;
  /// Returns the hosts that load is reported to: the other aggregators of the
  /// own data centre, or all its hosts while none of them is live.
  std::vector<gateway_host> localAggregators(time_point Now,
                                             random_source &Random) const;
  /// Returns the aggregators of the other data centres. For a data centre with
  /// no live host, returns its likely aggregators and some random hosts.
  std::vector<gateway_host> remoteAggregators(time_point Now,
                                              random_source &Random) const;
  /// Returns the highest-ranked listed hosts of other data centres that are not
  /// live here although others of their data centre are. They may be its
  /// aggregators: two hosts that send only to those they hear from would never
  /// begin to exchange summaries.
  std::vector<gateway_host> unheardRemoteAggregators(time_point Now) const;
  /// Returns the other hosts of the own data centre, at most `MaxTargets`.
  std::vector<gateway_host> localHosts(random_source &Random) const;
  /// Returns random hosts of the own and of other data centres. Updates that
  /// are also sent to them spread even when the aggregators are unreachable.
  std::vector<gateway_host> randomHosts(std::size_t Local, std::size_t Remote,
                                        random_source &Random) const;

  /// True when this host follows the configuration in the store for all hosts:
  /// it is an aggregator of the data centre that ranks first or the first one
  /// of the next data centres, or it recently had to read the server list
  /// itself because no other host did.
  bool followsConfiguration(time_point Now) const;
  /// True when this host reads the host list for its data centre.
  bool followsHosts(time_point Now) const;

  /// Returns the hosts to ask whether the configuration is current: for an
  /// aggregator, the other hosts that follow the store, for another host the
  /// aggregators of its data centre. None if none of them is live.
  std::vector<gateway_host> verifiers(time_point Now) const;

  /// Returns a live host to fetch a newer configuration than the own from, if
  /// there is any: a random one with the newest version, aggregators of the own
  /// data centre first, then its other hosts, then those of other data centres.
  /// A host from which a fetch has just failed comes last.
  std::optional<gateway_host>
  hostWithNewerConfiguration(time_point Now, random_source &Random) const;
  /// Records that the host did not deliver what was fetched from it.
  void recordFetchFailure(const host_id &Host, time_point Now);
  /// Returns a live host whose server list is newer than the own and differs
  /// from it, if any: by its position or, if the positions have no order, by
  /// when it was read. Prefers hosts of the own data centre.
  std::optional<gateway_host> hostWithNewerServers(time_point Now) const;

  /// Returns an aggregator of the own data centre whose host list differs from
  /// the own, if any.
  std::optional<gateway_host> aggregatorWithOtherHosts(time_point Now) const;

  /// Returns when any host last read the current server list of this host from
  /// the store.
  time_point listConfirmedAt() const;
  /// The same for this host and the hosts that reported their reading to it.
  time_point listReadAt() const;

  /// Returns when this host should next read the server list from the store.
  time_point nextListRead(time_point Now, random_source &Random) const;

  /// Returns the hosts that this host should remove from the store. The first
  /// aggregator removes those of its own data centre, and those of data centres
  /// that send no reports.
  std::vector<host_id> hostsToRemove(time_point Now) const;

  /// Returns the number of live hosts, including this one.
  std::size_t liveHosts(time_point Now) const;
  std::size_t listedHosts() const { return Hosts.size(); }
  /// Returns the number of other listed hosts of the own data centre.
  std::size_t listedLocalHosts() const;

private:
  struct entry {
    gateway_host Host;
    host_state State;
    /// When the host's server list was read from the store, by this host's
    /// clock.
    time_point ListReadAt{};
    std::optional<time_point> HeardAt;
    std::optional<time_point> FetchFailedAt;
    time_point ListedAt{};
  };

  bool isLive(const entry &Entry, time_point Now) const;
  /// True if the first of two lists, read at these times, is the newer one.
  bool isNewerList(const store_position &Position, time_point ReadAt,
                   const store_position &Other, time_point OtherReadAt) const;
  bool isLocal(const entry &Entry) const {
    return Entry.Host.DataCentre == Options.Self.DataCentre;
  }
  /// Order in which hosts are asked for a configuration, lowest first.
  int fetchRank(const entry &Entry, time_point Now) const;
  /// Number of live hosts of the own data centre that rank before this one.
  bool isInformed(time_point Now) const;
  std::size_t ownRank(time_point Now) const;
  /// Number of data centres with a live host that ranks before all hosts of the
  /// own data centre. The first data centre reads the server list for all.
  std::size_t dataCentreRank(time_point Now) const;
  bool hasReadList(time_point Now) const {
    return StoreReadAt && Now - *StoreReadAt < Options.FollowAfterRead;
  }
  /// Returns a random subset of at most `Count` hosts.
  std::vector<gateway_host> sampleHosts(std::vector<gateway_host> Hosts,
                                        std::size_t Count,
                                        random_source &Random) const;
  /// Returns the live aggregators of a data centre, except this host.
  std::vector<gateway_host> liveAggregatorsIn(const data_centre_id &DataCentre,
                                              time_point Now) const;
  std::vector<gateway_host> hostsIn(const data_centre_id &DataCentre) const;
  std::vector<gateway_host>
  rankedHostsIn(const data_centre_id &DataCentre) const;
  std::set<data_centre_id> remoteDataCentres() const;
  /// Returns the other live hosts that follow the configuration in the store.
  std::vector<gateway_host> configurationFollowers(time_point Now) const;

  host_directory_options Options;
  std::map<host_id, entry> Hosts;
  /// When the first list was set.
  std::optional<time_point> ListedSince;
  host_state Own;
  time_point OwnListReadAt{};
  /// When another host last read the current server list of this host from the
  /// store, as it reported itself.
  time_point PeerReadAt{};
  /// The same as reported by others.
  time_point PeerConfirmedAt{};
  std::optional<time_point> StoreReadAt;
};

} // namespace bw

#endif
