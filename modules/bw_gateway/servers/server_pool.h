#ifndef BW_GATEWAY_SERVERS_SERVER_POOL_H
#define BW_GATEWAY_SERVERS_SERVER_POOL_H

#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway/servers/load_exchange.h"
#include "bw_gateway/servers/server_evidence.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bw {

/// What a choice knows of one server, for one request.
struct server_candidate {
  std::uint32_t Index = 0;
  std::uint32_t Slots = 1;
  /// Requests of all hosts at the server, as far as known.
  double InFlight = 0;
  double FailureShare = 0;
  bool IsRemote = false;
  bool IsCold = false;
  /// The request cannot be sent to another server after a failure.
  bool IsLastChance = false;
};

/// Picks one of the candidates, of which there is at least one. Returns a
/// position in the span.
using server_choice = std::function<std::size_t(
    std::span<const server_candidate>, random_source &)>;

/// Least expected delay: queueing, cold start, failures and distance.
std::size_t chooseByExpectedDelay(std::span<const server_candidate> Candidates,
                                  random_source &Random);
/// Baseline: the less loaded of two random servers, without detection.
std::size_t chooseLessLoadedOfTwo(std::span<const server_candidate> Candidates,
                                  random_source &Random);
/// Baseline: all servers in turn.
server_choice makeRoundRobinChoice();

struct server_pool_options {
  host_id Self;
  data_centre_id OwnDataCentre;
  /// At least this share of a service's servers that may get work stays in use,
  /// however bad they look.
  ratio FloorShare{0.7};
  /// A server whose next request fails with this probability is passed over;
  /// above 1: none ever is.
  double EjectAtFailureShare = 0.45;
  /// Share of the requests that can be repeated that try a server which may be
  /// failing: its recovery is seen without losing a request, and a server that
  /// is wrongly suspected keeps getting work.
  ratio TrialShare{0.15};
  server_choice Choose = chooseByExpectedDelay;
};

/// A change that the log reports.
struct pool_change {
  enum class kind { Added, Leaving, Removed, Restarted, Ejected, Returned };
  kind Kind = kind::Added;
  listed_server Server;
  double FailureShare = 0;
};

/// The backend servers of all services: which may get work, what is in flight
/// there and how they fared. Not thread-safe.
class server_pool {
public:
  explicit server_pool(server_pool_options Options)
      : Options(std::move(Options)),
        Exchange(this->Options.Self, this->Options.OwnDataCentre) {}

  /// The list as the platform has it now; it decides who may get work. An older
  /// list than the known one changes nothing. After an outage, servers that are
  /// missing keep getting work for a short time, since their entries lapsed and
  /// may return.
  std::vector<pool_change> update(const servers_listed &List, time_point Now);

  /// Takes a server of the service for one request. Null when none may get it.
  /// IsLastChance: a failure there cannot be repaired at another server.
  const listed_server *take(const service_id &Service,
                            std::span<const backend_server_id> Excluded,
                            bool IsLastChance, time_point Now,
                            random_source &Random);
  /// The request is no longer at the server.
  void release(const backend_server_id &Server);

  /// Outcomes that this host saw; they are reported to others.
  void addEvidence(const backend_server_id &Server, double Good, double Bad,
                   time_point Now);
  /// A failure that may be one of this host's own path to the server.
  void addPathFailure(const backend_server_id &Server, time_point Now);
  /// A request takes much longer than usual.
  void addSlowness(const backend_server_id &Server, time_point Now);

  /// A report of a host of the own data centre.
  void peerReported(const peer_reported &Report, time_point Now);
  void summaryReported(const load_summary &Summary, time_point Now);
  void aggregateReported(const load_aggregate &Aggregate, time_point Now);

  /// What this host tells others.
  load_exchange &exchange() { return Exchange; }
  const load_exchange &exchange() const { return Exchange; }
  /// Own requests at each server.
  load_list ownLoad() const;

  /// Servers whose ejection began or ended since the last call.
  std::vector<pool_change> takeChanges();

  /// True once a list was received.
  bool isListed() const { return Listed; }
  store_revision revision() const { return Revision; }
  bool hasServers(const service_id &Service) const;
  double failureShare(const backend_server_id &Server, time_point Now) const;

private:
  struct entry {
    listed_server Server;
    /// What all hosts saw.
    server_evidence Shared;
    /// What this host saw: shows a fault of its own path to the server.
    server_evidence Own;
    time_point ColdUntil{};
    /// Set while the list does not show the server after an outage.
    std::optional<time_point> MissingSince;
    std::uint32_t OwnInFlight = 0;
    bool Used = false;
    bool Ejected = false;
  };
  std::uint32_t indexFor(const listed_server &Server, time_point Now,
                         std::vector<pool_change> &Changes);
  void show(const listed_server &Server, time_point Now,
            std::vector<pool_change> &Changes);
  void remove(std::uint32_t Index, std::vector<pool_change> &Changes);
  /// Removes what is not listed any more, unless it may yet return.
  void removeMissing(time_point Now, std::vector<pool_change> &Changes);
  void collectUsable(const service_id &Service,
                     std::span<const backend_server_id> Excluded,
                     bool IsLastChance, time_point Now);
  void addDoubtful(const backend_server_id &Server, double SharedWeight,
                   time_point Now);
  /// A candidate to try, or none for this request.
  std::optional<std::uint32_t> chooseTrial(random_source &Random) const;
  static double failureShare(const entry &Entry, time_point Now);
  void passOverFailing(std::size_t Usable);
  void setEjected(entry &Entry, bool Ejected, double FailureShare);
  void addShared(const backend_server_id &Server, float Good, float Bad,
                 time_point Now);

  server_pool_options Options;
  std::vector<entry> Entries;
  std::vector<std::uint32_t> FreeIndexes;
  std::unordered_map<backend_server_id, std::uint32_t> Indexes;
  std::unordered_map<service_id, std::vector<std::uint32_t>> Services;
  load_exchange Exchange;
  std::vector<pool_change> Changes;
  /// Storage of `take`, kept to save allocations.
  std::vector<server_candidate> Candidates;
  bool Listed = false;
  std::optional<time_point> OutageEnd;
  store_revision Revision;
};

} // namespace bw

#endif
