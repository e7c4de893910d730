// Which requests leave the data centre.

#include "bw_gateway/servers/server_pool.h"

#include <algorithm>

using namespace bw;

namespace {

// A server that fails more often keeps no requests in the data centre and does
// not count as a part of its capacity: it is about to be ejected.
constexpr double MaxFailureShare = 0.2;
// The same for requests that a failure loses. A bursty server has a share of
// 0.09 between its bursts.
constexpr double MaxFinalFailureShare = 0.12;
// Reports of other hosts arrive less often than this.
constexpr duration LoadsKeptFor = std::chrono::milliseconds(50);
// While more requests of a service fail than this, servers of a data centre
// that is not heard from must get work as well.
constexpr double FloorFailureShare = 0.1;

bool isFailing(const server_candidate &Candidate) {
  return Candidate.FailureShare >=
         (Candidate.IsFinalAttempt ? MaxFinalFailureShare : MaxFailureShare);
}

} // namespace

const data_centre_loads &server_pool::dataCentreLoads(const service_id &Service,
                                                      time_point Now) {
  known_loads &Known = KnownLoads[Service];
  const std::uint32_t Own = dataCentreIndex(Options.OwnDataCentre);
  if (Known.Loads.Loads.size() == DataCentres.size() &&
      Now - Known.At < LoadsKeptFor)
    return Known.Loads;
  Known.At = Now;
  Known.Loads = {.Service = Service, .Loads = {}, .Own = Own};
  for (const data_centre_id &Each : DataCentres)
    Known.Loads.Loads.push_back(
        {.Id = Each, .Age = Exchange.summaryAge(Each, Now)});
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Known.Loads;
  for (const std::uint32_t Index : Found->second) {
    const entry &Entry = Entries[Index];
    if (Entry.Server.Leaving || Entry.Ejected ||
        Entry.Restraint.nextRequest(Now) > Now ||
        failureShare(Entry, Now) >= MaxFailureShare)
      continue;
    data_centre_load &Load = Known.Loads.Loads[Entry.DataCentre];
    Load.Slots += std::max(Entry.Server.Slots.value(), 1U);
    Load.InFlight += double(Entry.OwnInFlight) +
                     Exchange.inFlightElsewhere(Entry.Server.Server);
  }
  return Known.Loads;
}

void server_pool::rankCandidates(const service_id &Service,
                                 const departure_request &Request,
                                 time_point Now) {
  if (!choosesDataCentre())
    return;
  const data_centre_loads &Known = dataCentreLoads(Service, Now);
  const auto Ranks = Options.ChooseDataCentre(Known, Request, Now);
  for (server_candidate &Each : Candidates) {
    Each.Rank = Ranks[Entries[Each.Index].DataCentre];
    Each.IsRemoteDownload = Each.IsRemote && Request.IsDownload;
  }
}

departure_reason
server_pool::departureReason(const departure_request &Request) const {
  if (Request.IsFurtherAttempt)
    return departure_reason::Retry;
  const bool HasLocal = std::any_of(Candidates.begin(), Candidates.end(),
                                    [](const server_candidate &Each) {
                                      return !Each.IsRemote && !isFailing(Each);
                                    });
  return HasLocal ? departure_reason::Spill : departure_reason::NoLocalServer;
}

// In a data centre that is not heard from, the servers are probably used by its
// own hosts. Where a service fails, they are needed for the floor, and where
// they cannot be reached, a repeatable request is not lost.
bool server_pool::mayBeUnused(const server_candidate &Candidate) const {
  if (Candidate.Rank != data_centre_rank::Last)
    return true;
  double Sum = 0;
  double Count = 0;
  for (const server_candidate &Each : Candidates) {
    if (Each.Rank == data_centre_rank::Last)
      continue;
    Sum += Each.FailureShare;
    ++Count;
  }
  return !Candidate.IsFinalAttempt && Sum > FloorFailureShare * Count;
}

void server_pool::demoteFailing() {
  for (server_candidate &Each : Candidates)
    if (isFailing(Each))
      Each.Rank = std::max(Each.Rank, data_centre_rank::Usable);
}

data_centre_rank server_pool::lowestRank() const {
  data_centre_rank Result = data_centre_rank::Last;
  for (const server_candidate &Each : Candidates)
    Result = std::min(Result, Each.Rank);
  return Result;
}

void server_pool::keepRanks(data_centre_rank Highest) {
  std::erase_if(Candidates, [&](const server_candidate &Each) {
    return Each.Rank > Highest;
  });
}
