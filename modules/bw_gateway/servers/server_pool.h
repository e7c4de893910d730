#ifndef BW_GATEWAY_SERVERS_SERVER_POOL_H
#define BW_GATEWAY_SERVERS_SERVER_POOL_H

#include "bw_admission/room/room_estimate.h"
#include "bw_admission/room/room_share.h"
#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/servers/data_centre_choice.h"
#include "bw_gateway/servers/load_age.h"
#include "bw_gateway/servers/load_exchange.h"
#include "bw_gateway/servers/restored_list_filter.h"
#include "bw_gateway/servers/server_evidence.h"
#include "bw_gateway/servers/server_restraint.h"
#include "bw_gateway/servers/service_times.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bw {

/// Input of a selection policy: one server that may get the request.
struct server_candidate {
  std::uint32_t Index = 0;
  std::uint32_t Slots = 1;
  /// Estimated in-flight requests of all hosts at the server.
  double InFlight = 0;
  /// Standard deviation of the true number from this.
  double Uncertainty = 0;
  /// Estimated work of these, in requests of usual length of the service.
  double Work = 0;
  /// Usual time of the server's requests, compared with that of all servers.
  double Slowness = 1;
  double FailureShare = 0;
  bool IsRemote = false;
  /// The server is remote and its response large, where that is considered.
  bool IsRemoteDownload = false;
  bool IsCold = false;
  /// The request cannot be retried at another server after a failure.
  bool IsFinalAttempt = false;
  data_centre_rank Rank = data_centre_rank::Chosen;
};

/// Selection policy. Returns the position of the chosen candidate in the span,
/// which is never empty.
using server_choice = std::function<std::size_t(
    std::span<const server_candidate>, random_source &)>;

/// Says whether a server may get the request. An empty filter passes all.
using server_filter = std::function<bool(const server_candidate &)>;

/// Chooses the least expected delay from queueing, cold start, failures and
/// distance.
std::size_t chooseByExpectedDelay(std::span<const server_candidate> Candidates,
                                  random_source &Random);
/// Baseline: the less loaded of two random servers, regardless of failures.
std::size_t chooseLessLoadedOfTwo(std::span<const server_candidate> Candidates,
                                  random_source &Random);
/// Baseline: round robin.
server_choice makeRoundRobinChoice();

struct server_pool_options {
  host_id Self;
  data_centre_id OwnDataCentre;
  /// Floor: minimum share of a service's eligible servers that stays in use,
  /// whatever their failure shares.
  ratio FloorShare{0.7};
  /// A server whose next request fails with at least this probability is
  /// ejected. Above 1, servers are never ejected.
  double EjectAtFailureShare = 0.45;
  /// Share of the retryable requests that probe a suspected server. Its
  /// recovery is detected without losing a request, and a wrongly suspected
  /// server keeps getting requests.
  ratio ProbeShare{0.15};
  /// A server that no host is known to have used for this long gets the next
  /// retryable requests of its data centre, whatever it costs compared with
  /// others.
  duration UseInterval = std::chrono::milliseconds(500);
  /// The same for requests that cannot be retried, and for those of other data
  /// centres.
  duration LateUseInterval = std::chrono::milliseconds(1200);
  /// Requests per second that all hosts together send to such a server when the
  /// interval has passed; the rate grows with the square of the unused time.
  double UseRate = 10;
  restored_list_options RestoredList = {};
  server_choice Choose = chooseByExpectedDelay;
  /// Which data centres may get a request, for example `makeSpillingChoice()`.
  /// Empty: all of them, and `Choose` weighs the distance.
  data_centre_choice ChooseDataCentre = {};
};

/// Change of a server's state, for the log.
struct pool_change {
  enum class kind {
    Added,
    Leaving,
    Removed,
    Restarted,
    Ejected,
    Returned,
    /// No host is known to have sent it a request for two seconds.
    Unused,
    /// It names a limit on the requests of all hosts, or another one than
    /// before.
    Limited,
    /// It no longer names a limit.
    LimitEnded,
    /// It wants no requests from this host for a while.
    Deferred
  };
  kind Kind = kind::Added;
  listed_server Server;
  double FailureShare = 0;
  /// Age of the last outcome behind `FailureShare`, if there is one.
  std::optional<duration> EvidenceAge = {};
  /// Time since a host is known to have used the server.
  duration UnusedFor{};
  /// Requests per second that the server accepts, and this host's share.
  double Limit = 0;
  double OwnRate = 0;
  /// Time in which the server wants no requests.
  duration RefusesFor{};
};

/// The backend servers of all services, with their eligibility, in-flight
/// requests and failure estimates. Not thread-safe.
class server_pool {
public:
  explicit server_pool(server_pool_options Options)
      : Options(std::move(Options)),
        Exchange(this->Options.Self, this->Options.OwnDataCentre),
        RestoredList(this->Options.RestoredList) {}

  /// Sets the number of hosts that share the servers.
  void setHosts(const hosts_counted &Counts) { Hosts = Counts; }

  /// Applies the platform's server list, which determines the eligible servers.
  /// A list older than the current one is ignored. After a store outage,
  /// servers missing from the list stay in use for a short time, because their
  /// entries may have expired and may return.
  std::vector<pool_change> update(const servers_listed &List, time_point Now);

  /// Chooses a server of the service for one request and counts the request as
  /// in flight there. Returns null when no server is eligible. `IsFinalAttempt`
  /// says that the request cannot be retried at another server. Servers that
  /// have long been unused are taken whatever the filter says.
  const listed_server *
  take(const service_id &Service, std::span<const backend_server_id> Excluded,
       bool IsFinalAttempt, time_point Now, random_source &Random,
       const server_filter &Filter = {}, work_amount Work = work_amount(1),
       const departure_request &Departing = {});
  /// Returns why the server that `take` has just returned is one of another
  /// data centre; nothing if it is not.
  std::optional<departure_reason> departure() const { return Departure; }
  /// True if requests are assigned to data centres. These must then hear from
  /// each other while they are idle, too.
  bool choosesDataCentre() const {
    return Options.ChooseDataCentre && DataCentres.size() > 1;
  }
  /// Returns the known load of the usable servers of a service.
  service_load load(const service_id &Service, time_point Now) const;
  /// Returns this host's requests in flight at the servers of a service.
  std::uint32_t ownInFlight(const service_id &Service) const;
  const load_age &loadAge() const { return LoadAge; }
  /// True if the last call of `take` returned null although servers were
  /// eligible, because none of them passed the filter.
  bool wasFull() const { return WasFull; }
  /// Returns the known load of a server that `take` has just returned, without
  /// the request that it was taken for.
  server_load loadBeforeTake(const backend_server_id &Server) const;
  /// Ends the in-flight request counted by `take`.
  void release(const backend_server_id &Server,
               work_amount Work = work_amount(1));
  /// Records how long an answer of the server took without queueing, and how
  /// long requests of its route usually take.
  void recordSpeed(const backend_server_id &Server, duration Taken,
                   duration Usual);
  /// Sets the usual time of the service's requests without queueing.
  void setServiceTime(const service_id &Service, duration Usual) {
    ServiceTimes[Service] = Usual;
  }

  /// Records outcomes seen by this host, which are also reported to others.
  void addEvidence(const backend_server_id &Server, double Good, double Bad,
                   time_point Now);
  /// Records a failure that may lie in this host's network path to the server.
  void addPathFailure(const backend_server_id &Server, time_point Now);
  /// Records that the server broke off a request that was sent to it.
  void addBrokenAttempt(const backend_server_id &Server, time_point Now);
  /// Records that a request takes much longer than usual.
  void addSlowness(const backend_server_id &Server, time_point Now);

  /// Applies what the server said of itself in an answer to a request that was
  /// sent at `SentAt`, and reports it to other hosts.
  void addStatement(const backend_server_id &Server,
                    const server_statement &Statement, time_point SentAt,
                    time_point Now);
  /// Returns when this host may next send a request to some server of the
  /// service that restrains requests; the maximum if there is none.
  time_point nextRequest(const service_id &Service, time_point Now) const;

  /// Applies a report of a host of the own data centre.
  void peerReported(const peer_reported &Report, time_point Now);
  void summaryReported(const load_summary &Summary, time_point Now);
  void aggregateReported(const load_aggregate &Aggregate, time_point Now);

  /// Exchange of load and outcomes with other hosts.
  load_exchange &exchange() { return Exchange; }
  const load_exchange &exchange() const { return Exchange; }
  /// Returns this host's in-flight requests by server.
  load_list ownLoad() const;

  /// Returns the state changes since the last call other than those returned by
  /// `update`: ejections, returns and delayed removals.
  std::vector<pool_change> takeChanges();

  /// True once a list was received.
  bool isListed() const { return Listed; }
  bool hasServers(const service_id &Service) const;
  double failureShare(const backend_server_id &Server, time_point Now) const;
  /// Returns the age of the last outcome known of the server, if any.
  std::optional<duration> evidenceAge(const backend_server_id &Server,
                                      time_point Now) const;

private:
  struct entry {
    listed_server Server;
    /// Estimate from the outcomes of all hosts.
    server_evidence Shared;
    /// Estimate from this host's outcomes, which shows failures of its own
    /// network path to the server.
    server_evidence Own;
    time_point ColdUntil{};
    /// Since when the server is missing from the list after an outage.
    std::optional<time_point> MissingSince;
    /// When a host last had requests at the server or reported an outcome, as
    /// far as known here; initially when the server was listed.
    time_point UsedAt{};
    server_restraint Restraint;
    /// This host's share of the server's limit, in requests per second.
    double OwnRate = 0;
    std::uint32_t OwnInFlight = 0;
    /// Work of these, in requests of usual length.
    double OwnWork = 0;
    double Slowness = 1;
    /// Position in `DataCentres`.
    std::uint32_t DataCentre = 0;
    bool Used = false;
    bool Ejected = false;
    bool IsReportedUnused = false;
  };
  /// A server that is due to get a request, and the expected number of requests
  /// that this host should have sent there since its last request.
  struct unused_server {
    std::uint32_t Index = 0;
    double Requests = 0;
  };
  /// When this host last chose a server for a request of the service.
  struct request_times {
    time_point Retryable{};
    time_point Final{};
  };
  std::uint32_t indexFor(const listed_server &Server, time_point Now,
                         std::vector<pool_change> &Changes);
  void applyListed(const listed_server &Server, time_point Now,
                   std::vector<pool_change> &Changes);
  void remove(std::uint32_t Index, time_point Now,
              std::vector<pool_change> &Changes);
  /// Removes servers that are no longer listed, unless they may still return
  /// after an outage.
  void removeMissing(time_point Now, std::vector<pool_change> &Changes);
  void collectCandidates(const service_id &Service,
                         std::span<const backend_server_id> Excluded,
                         bool IsFinalAttempt, time_point Now);
  void addAmbiguousFailure(const backend_server_id &Server, double SharedWeight,
                           time_point Now);
  /// Returns the index of a random unused candidate if this request is to go to
  /// one.
  std::optional<std::uint32_t> chooseUnused(const service_id &Service,
                                            bool IsFinalAttempt, time_point Now,
                                            random_source &Random);
  /// Returns the index of a random suspected candidate, if there is any.
  std::optional<std::uint32_t> chooseProbe(random_source &Random,
                                           const server_filter &Filter) const;
  const data_centre_loads &dataCentreLoads(const service_id &Service,
                                           time_point Now);
  /// Sets the ranks of the candidates by their data centres.
  void rankCandidates(const service_id &Service,
                      const departure_request &Request, time_point Now);
  departure_reason departureReason(const departure_request &Request) const;
  /// True if the candidate may get a request because no host uses it.
  bool mayBeUnused(const server_candidate &Candidate) const;
  /// Keeps no request at servers that fail while others are usable.
  void demoteFailing();
  data_centre_rank lowestRank() const;
  /// Removes the candidates of higher ranks.
  void keepRanks(data_centre_rank Highest);
  /// Replaces the known load of other hosts by what is expected of it now.
  void predictLoad(const service_id &Service, time_point Now);
  std::uint32_t dataCentreIndex(const data_centre_id &DataCentre);
  static double failureShare(const entry &Entry, time_point Now);
  void ejectFailing(std::size_t Usable, time_point Now);
  void setEjected(entry &Entry, bool Ejected, double FailureShare,
                  time_point Now);
  /// Counts a request of this host as in flight at the server.
  const listed_server &use(entry &Entry, work_amount Work,
                           departure_reason Reason, time_point Now);
  /// Records that a host uses the server.
  void recordUse(const backend_server_id &Server, time_point Now);
  void reportUnused(entry &Entry, time_point Now);
  void applyReported(const backend_server_id &Server,
                     const std::optional<server_statement> &Statement,
                     time_point Now);
  void reportLimit(const entry &Entry, time_point Now);
  /// Sets this host's share of the server's limit, if it has one.
  void updateRate(entry &Entry, time_point Now);
  double ownShare(const entry &Entry, double Limit) const;
  static std::optional<duration> evidenceAge(const entry &Entry,
                                             time_point Now);
  void addShared(const backend_server_id &Server, float Good, float Bad,
                 time_point Now);

  server_pool_options Options;
  std::vector<entry> Entries;
  std::vector<std::uint32_t> FreeIndexes;
  std::unordered_map<backend_server_id, std::uint32_t> Indexes;
  std::unordered_map<service_id, std::vector<std::uint32_t>> Services;
  load_exchange Exchange;
  std::vector<pool_change> Changes;
  /// Buffers of `take`, kept to avoid allocations.
  std::vector<server_candidate> Candidates;
  std::vector<unused_server> Unused;
  std::unordered_map<service_id, request_times> LastRequests;
  std::unordered_map<service_id, duration> ServiceTimes;
  std::unordered_map<service_id, std::uint32_t> OwnInFlight;
  std::vector<data_centre_id> DataCentres;
  /// Sums of a data centre's servers, used by `predictLoad`.
  struct load_sums {
    double Slots = 0;
    double Elsewhere = 0;
    /// By how much the load of other data centres is older, in seconds.
    double MoreAge = 0;
  };
  std::vector<load_sums> LoadSums;
  /// Load of the data centres, computed anew from time to time.
  struct known_loads {
    data_centre_loads Loads;
    time_point At{};
  };
  std::unordered_map<service_id, known_loads> KnownLoads;
  std::optional<departure_reason> Departure;
  load_age LoadAge;
  hosts_counted Hosts;
  /// Time between the last two requests of the service and kind in question.
  duration RequestGap{};
  bool Listed = false;
  bool WasFull = false;
  std::optional<time_point> OutageEnd;
  restored_list_filter RestoredList;
  /// Where the current list was read.
  store_position Position;
};

} // namespace bw

#endif
