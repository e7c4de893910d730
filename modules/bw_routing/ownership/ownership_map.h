#ifndef BW_ROUTING_OWNERSHIP_OWNERSHIP_MAP_H
#define BW_ROUTING_OWNERSHIP_OWNERSHIP_MAP_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/random/stable_hash.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bw {

struct ownership_options {
  /// The host whose own instances `owned` and `succeeded` list.
  host_id Self;
  /// A new host owns nothing until it has been ready for this long, so that all
  /// other hosts know it before requests are sent to it. Hosts that become
  /// ready within this time after the oldest host of their data centre do not
  /// wait, since there is no earlier owner to take over from.
  duration TakeoverDelay = std::chrono::seconds(2);
  /// Rendezvous score of (hash of host, hash of instance or key). The host with
  /// the highest score is the owner. Must be the same function on every host.
  std::function<std::uint64_t(std::uint64_t, std::uint64_t)> Score = mixHash;
};

/// Position of an instance in the map, valid until the instance is removed.
using instance_index = strong_number<struct instance_index_tag, std::uint32_t>;

/// Position of a host in the map. The generation distinguishes the host from
/// earlier hosts at the same position.
struct host_ref {
  std::uint32_t Index = UINT32_MAX;
  std::uint32_t Generation = 0;

  bool valid() const { return Index != UINT32_MAX; }
  friend bool operator==(const host_ref &, const host_ref &) = default;
};

/// Owner and successor of an instance; empty if its data centre has too few
/// hosts.
struct ownership {
  host_id Owner;
  host_id Successor;

  friend bool operator==(const ownership &, const ownership &) = default;
};

/// Owner and successor by position; invalid references for missing hosts.
struct ownership_refs {
  host_ref Owner;
  host_ref Successor;
};

/// Change of the owner or successor of one instance. An instance can occur more
/// than once in the changes of a call, in chronological order.
struct ownership_change {
  backend_server_id Instance;
  ownership Before;
  ownership After;
};
using ownership_changes = std::vector<ownership_change>;

/// Owner and successor of every instance, by rendezvous hashing over the hosts
/// of the instance's data centre. The result depends on the hosts, their ready
/// times and the current time, not on the order of calls. Adding or removing a
/// host affects only the instances that it gains or loses. Not thread-safe.
class ownership_map {
public:
  explicit ownership_map(ownership_options Options);

  /// Adds a host that is ready since the given time. Further calls for the same
  /// host and data centre change nothing.
  ownership_changes addHost(const host_id &Host,
                            const data_centre_id &DataCentre,
                            time_point ReadySince, time_point Now);

  /// Removes a host that is dead, leaving or has left. Unknown hosts are
  /// ignored.
  ownership_changes removeHost(const host_id &Host, time_point Now);

  /// Adds an instance, or returns the position of a known one.
  instance_index addInstance(const backend_server_id &Instance,
                             const data_centre_id &DataCentre);
  void removeInstance(const backend_server_id &Instance);

  /// Moves instances to hosts whose takeover delay has passed.
  ownership_changes tick(time_point Now);
  /// Next time at which `tick` can change something; empty if none.
  std::optional<time_point> nextTick() const;

  std::optional<instance_index> indexOf(const backend_server_id &Name) const;
  /// Empty names for an unknown instance.
  ownership find(const backend_server_id &Name) const;
  const ownership_refs &refs(instance_index Index) const {
    return Refs[Index.value()];
  }

  /// Invalid for a host that is not in the map.
  host_ref refOf(const host_id &Host) const;
  /// The reference must be live, see `isLive`.
  const host_id &hostName(host_ref Host) const;
  bool isLive(host_ref Host) const {
    return Host.Index < Hosts.size() &&
           Hosts[Host.Index].Generation == Host.Generation;
  }

  /// The instances that `Self` owns, and those of which it is the successor.
  std::vector<backend_server_id> owned() const;
  std::vector<backend_server_id> succeeded() const;

  /// The hosts of a data centre with the highest scores for a key, best first.
  /// Hosts within their takeover delay do not count.
  std::vector<host_id> topHosts(const std::string &Key,
                                const data_centre_id &DataCentre,
                                std::size_t Count) const;

  std::size_t instanceCount() const { return InstanceIndexes.size(); }
  std::size_t hostCount() const { return HostIndexes.size(); }

private:
  static constexpr std::uint32_t None = UINT32_MAX;

  struct host_entry {
    host_id Host;
    std::uint64_t Hash = 0;
    std::uint32_t Generation = 0;
    std::uint32_t Centre = None;
    time_point ReadySince;
    bool Active = false;
  };
  struct instance_entry {
    backend_server_id Name;
    std::uint64_t Hash = 0;
    std::uint32_t Centre = None;
    std::uint32_t Owner = None;
    std::uint32_t Successor = None;
    std::uint64_t OwnerScore = 0;
    std::uint64_t SuccessorScore = 0;
  };
  struct centre_entry {
    std::vector<std::uint32_t> ActiveHosts;
    /// Hosts that may still be within their takeover delay.
    std::vector<std::uint32_t> RecentHosts;
    std::vector<std::uint32_t> Instances;
    /// All hosts, active or not, to find the earliest ready time.
    std::vector<std::uint32_t> Hosts;
  };

  std::uint32_t centreIndex(const data_centre_id &DataCentre);
  std::uint32_t newHost(const host_id &Host, std::uint32_t Centre,
                        time_point ReadySince);
  std::uint32_t newInstance();
  time_point oldestReady(const centre_entry &Centre) const;
  time_point activeFrom(const host_entry &Host, time_point Oldest) const;
  bool isRecent(std::uint32_t Host, time_point Now) const;
  void updateCentre(centre_entry &Centre, time_point Now,
                    ownership_changes &Changes);
  void setActive(centre_entry &Centre, std::uint32_t Host, bool Active,
                 ownership_changes &Changes);
  void activate(centre_entry &Centre, std::uint32_t Host,
                ownership_changes &Changes);
  void deactivate(centre_entry &Centre, std::uint32_t Host,
                  ownership_changes &Changes);
  bool outranks(std::uint32_t Candidate, std::uint64_t Score,
                std::uint32_t Current, std::uint64_t CurrentScore) const;
  bool considerHost(instance_entry &Instance, std::uint32_t Host) const;
  void recompute(instance_entry &Instance) const;
  void recordChange(std::uint32_t Index, ownership Before,
                    ownership_changes &Changes);
  const host_id &nameAt(std::uint32_t Host) const;
  ownership namesOf(const instance_entry &Instance) const;
  host_ref refAt(std::uint32_t Host) const;
  std::vector<backend_server_id>
  listInstances(std::uint32_t instance_entry::*Role) const;

  ownership_options Options;
  std::vector<host_entry> Hosts;
  std::vector<std::uint32_t> FreeHosts;
  std::unordered_map<host_id, std::uint32_t> HostIndexes;
  std::vector<instance_entry> Instances;
  /// Owner and successor by instance index. Stored separately because every
  /// pick reads them.
  std::vector<ownership_refs> Refs;
  std::vector<std::uint32_t> FreeInstances;
  std::unordered_map<backend_server_id, std::uint32_t> InstanceIndexes;
  std::vector<centre_entry> Centres;
  std::unordered_map<data_centre_id, std::uint32_t> CentreIndexes;
};

} // namespace bw

#endif
