#ifndef BW_ROUTING_PICKING_SERVER_PICKER_H
#define BW_ROUTING_PICKING_SERVER_PICKER_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_routing/ownership/ownership_map.h"
#include "bw_routing/picking/owner_health.h"
#include "bw_routing/picking/slot_estimate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bw {

struct server_picker_options {
  data_centre_id OwnDataCentre;
  /// Rank of a data centre; instances of lower ranks are preferred until they
  /// have no free slots. Default: 0 for the own data centre, 1 for all others.
  std::function<int(const data_centre_id &)> Rank;
  /// Preference between two candidates; the higher value wins. The score is
  /// the owner's ejection score: 0 or more, higher is worse.
  std::function<float(float FreeSlots, float Score)> Preference =
      [](float FreeSlots, float Score) { return FreeSlots / (1 + Score); };
  /// Time after which a reported number of free slots is no longer considered.
  duration SlotHorizon = std::chrono::seconds(1);
  /// Time in which a reported score returns to 0. An instance that is not
  /// picked because of its score gets no request that could correct it.
  duration ScoreHorizon = std::chrono::seconds(5);
  /// Least estimate at which an instance counts as having a free slot.
  float MinFreeSlots = 0.5F;
  /// Number of times that a request is offered to an owner without permission
  /// to queue there, as long as an instance with a free slot is found. With
  /// many entry hosts the estimates are out of date, while an owner's refusal
  /// is current.
  std::uint32_t OffersWithoutWait = 2;
  /// How long a `not_owner` answer redirects an instance's requests.
  duration RedirectTime = std::chrono::seconds(10);
  owner_health_options Health = {};
};

struct picker_instance {
  backend_server_id Name;
  service_id Service;
  data_centre_id DataCentre;
  slot_count Slots{1};
};

/// Request to pick a backend server for. The lists hold the instances and hosts
/// that were already tried for this request.
struct pick_request {
  service_id Service;
  request_kind Kind;
  std::span<const backend_server_id> TriedInstances = {};
  std::span<const host_id> TriedHosts = {};
  /// Number of offers of this request that owners refused for lack of a free
  /// slot. These instances must not be listed as tried: if no other instance
  /// has a free slot, the request may queue at one of them.
  std::uint32_t OffersWithoutSlot = 0;
};

struct server_pick {
  backend_server_id Instance;
  /// Host to forward the request to: the owner, its successor, or the host that
  /// a `not_owner` answer named.
  host_id Target;
  /// The target is not the owner in the ownership map.
  bool BypassesOwner = false;
  /// False if the request will probably be queued.
  bool HasFreeSlot = true;
  /// True if the owner may queue the request.
  bool MayWait = true;

  friend bool operator==(const server_pick &, const server_pick &) = default;
};

enum class pick_refusal {
  UnknownService, ///< No instance of the service is known.
  NoneAvailable,  ///< All instances are leaving or excluded.
  AllTried,       ///< All remaining instances or hosts were already tried.
  NoOwner,        ///< The remaining instances have no owner.
};

using pick_result = std::variant<server_pick, pick_refusal>;

/// Result of one forward, as seen by the entry host.
struct forward_result {
  backend_server_id Instance;
  host_id Target;
  owner_outcome Outcome = owner_outcome::Answered;
  time_point Started;
  /// Time from the forward to the answer's head, less the time that the owner
  /// reports for queueing and for the backend server.
  duration Overhead{0};
  /// As reported by the owner; empty if it did not answer.
  std::optional<slot_count> FreeSlots;
  std::optional<double> Score;
};

/// Chooses the backend server and the owner for each request of an entry host:
/// power of two choices on the estimated free slots, the own data centre first.
/// Not thread-safe.
class server_picker {
public:
  /// The map must outlive the picker.
  server_picker(const ownership_map &Owners, server_picker_options Options);

  /// Adds an instance, or updates the slots of a known one and keeps its other
  /// state. Throws `instance_unknown` if the ownership map does not contain it.
  void addInstance(const picker_instance &Instance);
  /// To be called before the instance is removed from the ownership map.
  void removeInstance(const backend_server_id &Instance);
  /// A leaving instance is never picked. Unknown instances are ignored.
  void setLeaving(const backend_server_id &Instance, bool Leaving);
  /// Replaces the set of excluded instances of (service, kind). Unknown
  /// instances are ignored. Throws `too_many_request_kinds`.
  void setExcluded(const service_id &Service, const request_kind &Kind,
                   std::span<const backend_server_id> Excluded);

  pick_result pick(const pick_request &Request, time_point Now,
                   random_source &Random);

  /// To be called exactly once for each picked request.
  void finished(const forward_result &Result, time_point Now);

  /// The target answered `not_owner` and named the host to ask instead.
  void notOwner(const backend_server_id &Instance, const host_id &Target,
                const host_id &AskInstead, time_point Now);

  /// For reports: true if the circuit breaker keeps requests from this host.
  bool isCircuitOpen(const host_id &Host, time_point Now) const;
  /// For reports and tests: estimate of the free slots, 0 for an unknown
  /// instance.
  float freeSlots(const backend_server_id &Instance, time_point Now) const;

private:
  /// The fields that a pick reads of every instance that it considers. One
  /// cache line, since the instances of a service are not adjacent in memory.
  struct alignas(64) instance_entry {
    std::uint64_t ExcludedKinds = 0;
    slot_estimate Slots{1};
    time_point RedirectUntil{};
    /// Position in the ownership map.
    instance_index Owned;
    time_point ScoreAt{};
    float Score = 0;
    bool Leaving = false;
  };
  /// The remaining fields, at the same index.
  struct instance_details {
    backend_server_id Name;
    std::uint32_t Service = 0;
    host_ref RedirectFrom;
    host_ref RedirectTo;
  };
  struct tier {
    int Rank = 0;
    std::vector<std::uint32_t> Instances;
  };
  struct service_entry {
    std::vector<tier> Tiers;
    /// Kinds that have or had exclusions. The position is the bit number in
    /// `ExcludedKinds`.
    std::vector<request_kind> Kinds;
  };
  struct host_entry {
    std::uint32_t Generation = UINT32_MAX;
    owner_health Health;
  };
  /// Constraints of a pick, from strictest to loosest.
  enum class constraint {
    FreeSlot,      ///< A slot is probably free, and the circuit is not open.
    HealthyTarget, ///< The circuit of the target is not open.
    AnyTarget      ///< The circuit of the target is ignored.
  };
  struct candidate {
    std::uint32_t Instance = UINT32_MAX;
    host_ref Target;
    float Free = 0;
  };
  struct pick_context {
    const pick_request &Request;
    std::uint64_t KindMask;
    time_point Now;
    random_source &Random;
    constraint Constraint;
  };

  service_entry &serviceOf(const service_id &Service);
  static tier &tierOf(service_entry &Service, int Rank);
  std::uint32_t newInstance(const picker_instance &Instance);
  static std::uint64_t kindMask(const service_entry &Service,
                                const request_kind &Kind);
  static std::uint64_t addKind(service_entry &Entry, const service_id &Service,
                               const request_kind &Kind);
  static bool available(const instance_entry &Entry,
                        const pick_context &Context);
  bool isEligible(std::uint32_t Index, const pick_context &Context) const;
  std::optional<candidate> makeCandidate(std::uint32_t Index,
                                         const pick_context &Context) const;
  host_ref findTarget(std::uint32_t Index, const pick_context &Context) const;
  bool isUsableTarget(host_ref Host, const pick_context &Context) const;
  std::optional<candidate> choose(const tier &Tier,
                                  const pick_context &Context);
  std::optional<candidate> chooseByDraws(const tier &Tier,
                                         const pick_context &Context) const;
  std::optional<candidate> chooseFromEligible(const pick_context &Context);
  const candidate &better(const candidate &Left, const candidate &Right,
                          time_point Now) const;
  float score(const instance_entry &Entry, time_point Now) const;
  server_pick commit(const candidate &Chosen, const pick_context &Context);
  pick_refusal refusalFor(const service_entry &Service,
                          const pick_context &Context) const;
  const owner_health *healthOf(host_ref Host) const;
  owner_health &mutableHealth(host_ref Host);
  bool isSlow(duration Overhead);

  const ownership_map &Owners;
  server_picker_options Options;
  std::vector<instance_entry> Instances;
  std::vector<instance_details> Details;
  std::vector<std::uint32_t> FreeInstances;
  std::unordered_map<backend_server_id, std::uint32_t> InstanceIndexes;
  std::vector<service_entry> Services;
  std::unordered_map<service_id, std::uint32_t> ServiceIndexes;
  std::vector<host_entry> Health;
  /// Buffer of `choose`, kept to avoid allocations.
  std::vector<std::uint32_t> Eligible;
  /// Exponentially weighted mean overhead of all owners, in nanoseconds; 0
  /// before the first answer.
  double MeanOverhead = 0;
};

} // namespace bw

#endif
