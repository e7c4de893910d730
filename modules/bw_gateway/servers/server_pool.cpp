#include "bw_gateway/servers/server_pool.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Servers whose entries expired during a store outage register again within
// about two seconds of its end. Those still missing then are gone.
constexpr duration OutageReturnTime = std::chrono::seconds(2);
// A server is ejected only if its failure share exceeds the mean of its service
// by this factor, so that an overload of all servers ejects none.
constexpr double EjectionMeanFactor = 1.3;
// Twice the failure share of a server without outcomes, which is 0.04.
constexpr double SuspectFailureShare = 0.08;
// An ejection is reported as ended when the failure share falls below this part
// of the limit. The hysteresis is needed at the floor, where servers take turns
// in being left out with every request.
constexpr double ReturnThresholdFactor = 0.6;
// Longest time between two requests of a service at this host that counts
// towards its share of the requests to unused servers.
constexpr duration MaxRequestGap = std::chrono::seconds(5);
// Unused servers get retryable requests up to this failure share. A server in a
// burst or a gray failure is above it; `ProbeShare` finds out when it is over.
constexpr double MaxRetryableFailureShare = 0.2;
// The same for requests that cannot be retried, if the service has no others.
// Between its bursts a bursty server has a share of 0.09, and a little more
// while a gray failure is not ruled out.
constexpr double MaxFinalFailureShare = 0.12;
// Probes per second that a suspected server may get from all hosts. At little
// traffic its usual share is too small to see in time that it is sound again.
constexpr double ProbeRate = 2;
// Bounds the rate at a server whose use this host does not hear of.
constexpr double MaxLateness = 4;
// Weights of ambiguous outcomes as failures of the server: one that may lie in
// this host's network path, a slow answer, and an attempt that broke off. The
// last is rarely a fault of the path, since the connection was established.
constexpr double PathFailureWeight = 0.25;
constexpr double SlownessWeight = 0.5;
constexpr double BrokenAttemptWeight = 0.8;

// The platform expects every sound server to be in use within two seconds.
constexpr duration UnusedReportTime = std::chrono::seconds(2);

using change_kind = pool_change::kind;

} // namespace

std::vector<pool_change> server_pool::update(const servers_listed &List,
                                             time_point Now) {
  std::vector<pool_change> Result;
  if (Listed && List.Position.isBefore(Position))
    return Result;
  if (Listed && List.IsAfterOutage)
    OutageEnd = Now;
  if (Listed && Position.hasEra() && Position.Era < List.Position.Era)
    RestoredList.recordRestore(Now);
  Listed = true;
  Position = List.Position;
  for (entry &Entry : Entries)
    if (Entry.Used && !Entry.MissingSince)
      Entry.MissingSince = Now;
  for (const listed_server &Server : List.Servers)
    if (!RestoredList.isOutdated(Server, Now))
      applyListed(Server, Now, Result);
  removeMissing(Now, Result);
  return Result;
}

void server_pool::removeMissing(time_point Now,
                                std::vector<pool_change> &Result) {
  if (OutageEnd && Now < *OutageEnd + OutageReturnTime)
    return;
  OutageEnd.reset();
  for (std::uint32_t Index = 0; Index < Entries.size(); ++Index)
    if (Entries[Index].Used && Entries[Index].MissingSince)
      remove(Index, Now, Result);
}

void server_pool::applyListed(const listed_server &Server, time_point Now,
                              std::vector<pool_change> &Result) {
  const auto Known = Indexes.find(Server.Server);
  if (Known != Indexes.end()) {
    const listed_server &Old = Entries[Known->second].Server;
    const bool IsRestart = Old.Start != Server.Start;
    if (IsRestart || Old.Service != Server.Service) {
      remove(Known->second, Now, Result);
      if (IsRestart)
        Result.back().Kind = change_kind::Restarted;
    }
  }
  entry &Entry = Entries[indexFor(Server, Now, Result)];
  Entry.MissingSince.reset();
  const bool WasLeaving = Entry.Server.Leaving;
  if (Server.Leaving && !WasLeaving)
    Result.push_back({.Kind = change_kind::Leaving, .Server = Server});
  Entry.Server = Server;
  // A copy of the store may be from before the server began to leave.
  if (WasLeaving && RestoredList.isActive(Now))
    Entry.Server.Leaving = true;
}

std::uint32_t server_pool::indexFor(const listed_server &Server, time_point Now,
                                    std::vector<pool_change> &Result) {
  const auto Known = Indexes.find(Server.Server);
  if (Known != Indexes.end())
    return Known->second;
  std::uint32_t Index = static_cast<std::uint32_t>(Entries.size());
  if (FreeIndexes.empty()) {
    Entries.emplace_back();
  } else {
    Index = FreeIndexes.back();
    FreeIndexes.pop_back();
  }
  Entries[Index] = {.Server = Server,
                    .ColdUntil = Now + Server.ColdRemaining,
                    .UsedAt = Now,
                    .DataCentre = dataCentreIndex(Server.DataCentre),
                    .Used = true};
  RestoredList.recordListing(Server);
  Indexes.emplace(Server.Server, Index);
  Services[Server.Service].push_back(Index);
  Result.push_back({.Kind = change_kind::Added, .Server = Server});
  return Index;
}

void server_pool::remove(std::uint32_t Index, time_point Now,
                         std::vector<pool_change> &Result) {
  entry &Entry = Entries[Index];
  RestoredList.recordRemoval(Entry.Server, Now);
  OwnInFlight[Entry.Server.Service] -= Entry.OwnInFlight;
  Result.push_back({.Kind = change_kind::Removed, .Server = Entry.Server});
  Exchange.forget(Entry.Server.Server);
  const auto Service = Services.find(Entry.Server.Service);
  std::erase(Service->second, Index);
  if (Service->second.empty())
    Services.erase(Service);
  Indexes.erase(Entry.Server.Server);
  Entry = {};
  FreeIndexes.push_back(Index);
}

void server_pool::collectCandidates(const service_id &Service,
                                    std::span<const backend_server_id> Excluded,
                                    bool IsFinalAttempt, time_point Now) {
  Candidates.clear();
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return;
  for (const std::uint32_t Index : Found->second) {
    entry &Entry = Entries[Index];
    updateRate(Entry, Now);
    if (Entry.Server.Leaving || Entry.Restraint.nextRequest(Now) > Now)
      continue;
    reportUnused(Entry, Now);
    if (std::find(Excluded.begin(), Excluded.end(), Entry.Server.Server) !=
        Excluded.end())
      continue;
    Candidates.push_back(
        {.Index = Index,
         .Slots = std::max(Entry.Server.Slots.value(), 1U),
         .InFlight = double(Exchange.inFlightElsewhere(Entry.Server.Server)),
         .Slowness = Entry.Slowness,
         .FailureShare = failureShare(Entry, Now),
         .IsRemote = Entry.Server.DataCentre != Options.OwnDataCentre,
         .IsCold = Now < Entry.ColdUntil,
         .IsFinalAttempt = IsFinalAttempt});
  }
}

double server_pool::failureShare(const entry &Entry, time_point Now) {
  return std::max(Entry.Shared.failureShare(Now), Entry.Own.failureShare(Now));
}

// The estimate of a server without requests does not change, so a cost that
// once made it the worse choice would keep it unused while others have room.
// Each host sends its share of a fleet-wide rate of requests there, at random,
// since hosts hear of a use only after some 100 ms and would otherwise all go
// there.
std::optional<std::uint32_t>
server_pool::chooseUnused(const service_id &Service, bool IsFinalAttempt,
                          time_point Now, random_source &Random) {
  request_times &Times = LastRequests[Service];
  time_point &Last = IsFinalAttempt ? Times.Final : Times.Retryable;
  const duration Gap = std::min(Now - Last, MaxRequestGap);
  Last = Now;
  RequestGap = Gap;
  const bool HasRetryable = Now - Times.Retryable < MaxRequestGap;
  double MaxFailureShare = MaxRetryableFailureShare;
  if (IsFinalAttempt)
    MaxFailureShare = HasRetryable ? SuspectFailureShare : MaxFinalFailureShare;
  Unused.clear();
  double Expected = 0;
  for (const server_candidate &Each : Candidates) {
    const duration After = Each.IsRemote || IsFinalAttempt
                               ? Options.LateUseInterval
                               : Options.UseInterval;
    const duration UnusedFor = Now - Entries[Each.Index].UsedAt;
    if (UnusedFor < After || Each.FailureShare >= MaxFailureShare ||
        !mayBeUnused(Each))
      continue;
    // The rate grows with the time, so that no server waits for long by chance.
    const double Lateness = std::min(MaxLateness, double(UnusedFor.count()) /
                                                      double(After.count()));
    const double Requests = Options.UseRate * Lateness * Lateness *
                            std::chrono::duration<double>(Gap).count() /
                            (Each.IsRemote ? Hosts.Hosts : Hosts.LocalHosts);
    Unused.push_back({.Index = Each.Index, .Requests = Requests});
    Expected += Requests;
  }
  if (!Random.chance(std::min(1.0, Expected)))
    return std::nullopt;
  double Left = Random.unit() * Expected;
  for (const unused_server &Each : Unused) {
    Left -= Each.Requests;
    if (Left <= 0)
      return Each.Index;
  }
  return Unused.back().Index;
}

// All hosts together send no more probes to suspected servers than these would
// get requests if they were sound, or than `ProbeRate` to each. Otherwise they
// overload a single suspected server, which then answers slowly and stays
// suspected: of 250 equal servers it got 5 times the mean.
std::optional<std::uint32_t>
server_pool::chooseProbe(random_source &Random,
                         const server_filter &Filter) const {
  const auto IsSuspect = [&](const server_candidate &Each) {
    // Those of other data centres are probed by the hosts there.
    return Each.FailureShare >= SuspectFailureShare &&
           Each.Rank == data_centre_rank::Chosen && (!Filter || Filter(Each));
  };
  const auto Count = static_cast<std::uint64_t>(
      std::count_if(Candidates.begin(), Candidates.end(), IsSuspect));
  const double Usual = double(Count) / double(Candidates.size());
  const double Least = double(Count) * ProbeRate *
                       std::chrono::duration<double>(RequestGap).count() /
                       Hosts.Hosts;
  if (!Random.chance(
          std::min(Options.ProbeShare.value(), std::max(Usual, Least))))
    return std::nullopt;
  std::uint64_t Left = Random.below(Count);
  for (const server_candidate &Each : Candidates)
    if (IsSuspect(Each) && Left-- == 0)
      return Each.Index;
  return std::nullopt;
}

// Ejects the candidates that fail far more often than the others, worst first,
// down to the floor.
void server_pool::ejectFailing(std::size_t Usable, time_point Now) {
  double Mean = 0;
  for (const server_candidate &Each : Candidates)
    Mean += Each.FailureShare / double(Candidates.size());
  const double Limit =
      std::max(Options.EjectAtFailureShare, EjectionMeanFactor * Mean);
  auto MaxEjections = static_cast<std::size_t>(
      std::floor((1 - Options.FloorShare.value()) * double(Usable)));
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &Left, const auto &Right) {
              return Left.FailureShare < Right.FailureShare;
            });
  for (; Candidates.size() > 1 && MaxEjections > 0 &&
         Candidates.back().FailureShare >= Limit;
       --MaxEjections) {
    setEjected(Entries[Candidates.back().Index], true,
               Candidates.back().FailureShare, Now);
    Candidates.pop_back();
  }
  for (const server_candidate &Kept : Candidates)
    if (Kept.FailureShare < ReturnThresholdFactor * Options.EjectAtFailureShare)
      setEjected(Entries[Kept.Index], false, Kept.FailureShare, Now);
}

void server_pool::setEjected(entry &Entry, bool Ejected, double FailureShare,
                             time_point Now) {
  if (Entry.Ejected == Ejected)
    return;
  Entry.Ejected = Ejected;
  Changes.push_back(
      {.Kind = Ejected ? change_kind::Ejected : change_kind::Returned,
       .Server = Entry.Server,
       .FailureShare = FailureShare,
       .EvidenceAge = evidenceAge(Entry, Now),
       .UnusedFor = Now - Entry.UsedAt});
}

std::optional<duration> server_pool::evidenceAge(const entry &Entry,
                                                 time_point Now) {
  const time_point Updated =
      std::max(Entry.Shared.updatedAt(), Entry.Own.updatedAt());
  if (Updated == time_point())
    return std::nullopt;
  return Now - Updated;
}

void server_pool::recordUse(const backend_server_id &Server, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end())
    return;
  entry &Entry = Entries[Found->second];
  Entry.UsedAt = Now;
  Entry.IsReportedUnused = false;
}

// One host of each data centre reports, as all of them know the same.
void server_pool::reportUnused(entry &Entry, time_point Now) {
  if (Entry.IsReportedUnused || !Exchange.duty().IsFirst ||
      Now - Entry.UsedAt < UnusedReportTime)
    return;
  Entry.IsReportedUnused = true;
  Changes.push_back({.Kind = change_kind::Unused,
                     .Server = Entry.Server,
                     .FailureShare = failureShare(Entry, Now),
                     .EvidenceAge = evidenceAge(Entry, Now),
                     .UnusedFor = Now - Entry.UsedAt});
}

const listed_server *
server_pool::take(const service_id &Service,
                  std::span<const backend_server_id> Excluded,
                  bool IsFinalAttempt, time_point Now, random_source &Random,
                  const server_filter &Filter, work_amount Work,
                  const departure_request &Departing) {
  WasFull = false;
  Departure.reset();
  Exchange.expire(Now);
  if (OutageEnd)
    removeMissing(Now, Changes);
  collectCandidates(Service, Excluded, IsFinalAttempt, Now);
  predictLoad(Service, Now);
  if (Candidates.empty())
    return nullptr;
  rankCandidates(Service, Departing, Now);
  if (const auto Found = chooseUnused(Service, IsFinalAttempt, Now, Random))
    return &use(Entries[*Found], Work, departure_reason::Probe, Now);
  if (!IsFinalAttempt)
    if (const auto Probe = chooseProbe(Random, Filter))
      return &use(Entries[*Probe], Work, departure_reason::Probe, Now);
  // Servers already tried for this request count as usable for the floor.
  ejectFailing(Candidates.size() + Excluded.size(), Now);
  const departure_reason Reason = departureReason(Departing);
  if (choosesDataCentre()) {
    demoteFailing();
    keepRanks(lowestRank());
  }
  // Filtered last: while the sound servers are full, requests must not go to
  // those that are ejected because they fail at once and so always have room.
  if (Filter)
    std::erase_if(Candidates,
                  [&](const server_candidate &Each) { return !Filter(Each); });
  WasFull = Candidates.empty();
  if (WasFull)
    return nullptr;
  return &use(Entries[Candidates[Options.Choose(Candidates, Random)].Index],
              Work, Reason, Now);
}

const listed_server &server_pool::use(entry &Entry, work_amount Work,
                                      departure_reason Reason, time_point Now) {
  if (Entry.Server.DataCentre != Options.OwnDataCentre)
    Departure = Reason;
  ++Entry.OwnInFlight;
  ++OwnInFlight[Entry.Server.Service];
  Entry.OwnWork += Work.value();
  Entry.Restraint.take(Now);
  Entry.UsedAt = Now;
  Entry.IsReportedUnused = false;
  return Entry.Server;
}

void server_pool::release(const backend_server_id &Server, work_amount Work) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end() || Entries[Found->second].OwnInFlight == 0)
    return;
  entry &Entry = Entries[Found->second];
  --Entry.OwnInFlight;
  --OwnInFlight[Entry.Server.Service];
  Entry.OwnWork =
      Entry.OwnInFlight == 0 ? 0 : std::max(0.0, Entry.OwnWork - Work.value());
}

void server_pool::addEvidence(const backend_server_id &Server, double Good,
                              double Bad, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end())
    return;
  entry &Entry = Entries[Found->second];
  Entry.Shared.add(Good, Bad, Now);
  Entry.Own.add(Good, Bad, Now);
  Exchange.recordOutcomes(Server, Good, Bad);
}

// The server may work for other hosts, so it takes the failures of several
// hosts to change the shared estimate. The own estimate counts it in full.
void server_pool::addAmbiguousFailure(const backend_server_id &Server,
                                      double SharedWeight, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end())
    return;
  entry &Entry = Entries[Found->second];
  Entry.Own.add(0, 1, Now);
  Entry.Shared.add(0, SharedWeight, Now);
  Exchange.recordOutcomes(Server, 0, SharedWeight);
}

void server_pool::addPathFailure(const backend_server_id &Server,
                                 time_point Now) {
  addAmbiguousFailure(Server, PathFailureWeight, Now);
}

void server_pool::addBrokenAttempt(const backend_server_id &Server,
                                   time_point Now) {
  addAmbiguousFailure(Server, BrokenAttemptWeight, Now);
}

void server_pool::addSlowness(const backend_server_id &Server, time_point Now) {
  addAmbiguousFailure(Server, SlownessWeight, Now);
}

void server_pool::addShared(const backend_server_id &Server, float Good,
                            float Bad, time_point Now) {
  const auto Found = Indexes.find(Server);
  if (Found != Indexes.end() && (Good > 0 || Bad > 0))
    Entries[Found->second].Shared.add(Good, Bad, Now);
}

void server_pool::peerReported(const peer_reported &Report, time_point Now) {
  Exchange.receive(Report, Now);
  if (Report.HasLoad && Exchange.duty().IsAggregator)
    LoadAge.recordReport(Now);
  for (const server_report &Each : Report.Servers) {
    recordUse(Each.Server, Now);
    addShared(Each.Server, Each.Good, Each.Bad, Now);
    applyReported(Each.Server, Each.Statement, Now);
  }
}

void server_pool::summaryReported(const load_summary &Summary, time_point Now) {
  Exchange.receive(Summary, Now);
  for (const server_report &Each : Summary.Servers) {
    recordUse(Each.Server, Now);
    addShared(Each.Server, Each.Good, Each.Bad, Now);
    applyReported(Each.Server, Each.Statement, Now);
  }
}

void server_pool::aggregateReported(const load_aggregate &Aggregate,
                                    time_point Now) {
  Exchange.receive(Aggregate, Now);
  if (Aggregate.HasLoad && !Exchange.duty().IsAggregator)
    LoadAge.recordMessage(Now);
  for (const aggregated_load &Each : Aggregate.Servers) {
    recordUse(Each.Server, Now);
    applyReported(Each.Server, Each.Statement, Now);
  }
  // An aggregator has already counted the individual reports.
  if (Exchange.duty().IsAggregator)
    return;
  for (const aggregated_load &Each : Aggregate.Servers)
    addShared(Each.Server, Each.Good, Each.Bad, Now);
}

load_list server_pool::ownLoad() const {
  load_list Result;
  for (const entry &Entry : Entries)
    if (Entry.Used && Entry.OwnInFlight > 0)
      Result.emplace_back(Entry.Server.Server, Entry.OwnInFlight);
  return Result;
}

std::vector<pool_change> server_pool::takeChanges() {
  return std::exchange(Changes, {});
}

server_load server_pool::loadBeforeTake(const backend_server_id &Server) const {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end())
    return {};
  const entry &Entry = Entries[Found->second];
  const double InFlight =
      double(Entry.OwnInFlight) + Exchange.inFlightElsewhere(Server);
  return {.Slots = Entry.Server.Slots, .InFlight = InFlight - 1};
}

bool server_pool::hasServers(const service_id &Service) const {
  return Services.contains(Service);
}

double server_pool::failureShare(const backend_server_id &Server,
                                 time_point Now) const {
  const auto Found = Indexes.find(Server);
  return Found == Indexes.end() ? 0 : failureShare(Entries[Found->second], Now);
}

std::optional<duration>
server_pool::evidenceAge(const backend_server_id &Server,
                         time_point Now) const {
  const auto Found = Indexes.find(Server);
  return Found == Indexes.end() ? std::nullopt
                                : evidenceAge(Entries[Found->second], Now);
}
