#include "bw_gateway/hosts/host_directory.h"

#include <algorithm>
#include <limits>

using namespace bw;

namespace {

// An unknown age maps to the epoch, the oldest time.
time_point timeOfAge(duration Age, time_point Now) {
  return Age > Now.time_since_epoch() ? time_point() : Now - Age;
}

// Orders by processor share, largest first, and then by name.
bool ranksBefore(const gateway_host &Left, const gateway_host &Right) {
  if (Left.ProcessorShare != Right.ProcessorShare)
    return Left.ProcessorShare > Right.ProcessorShare;
  return Left.Host < Right.Host;
}

} // namespace

host_directory::host_directory(host_directory_options GivenOptions)
    : Options(std::move(GivenOptions)) {}

void host_directory::setListedHosts(const std::vector<gateway_host> &List,
                                    time_point Now) {
  if (!ListedSince)
    ListedSince = Now;
  std::set<host_id> Names;
  for (const gateway_host &Each : List) {
    if (Each.Host == Options.Self.Host)
      continue;
    Names.insert(Each.Host);
    const auto [Found, IsNew] = Hosts.try_emplace(Each.Host);
    Found->second.Host = Each;
    if (IsNew)
      Found->second.ListedAt = Now;
  }
  std::erase_if(
      Hosts, [&](const auto &Known) { return !Names.contains(Known.first); });
}

bool host_directory::recordReport(const host_id &Host, const host_state &State,
                                  time_point Now) {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return false;
  Found->second.State = State;
  Found->second.ListReadAt = timeOfAge(State.ListAge, Now);
  Found->second.HeardAt = Now;
  // A reading of another era says nothing about the own list, even if it
  // happens to be equal. Nor does one of an era that has ended: its reader may
  // still see the store as it was before.
  if (State.ListDigest != Own.ListDigest ||
      State.ListPosition.Era != Own.ListPosition.Era ||
      (Own.ListPosition.hasEra() && Own.ListPosition.Era < Own.Era))
    return false;
  // The confirmation stays valid when the sender changes to another list. It is
  // passed on once only: the reading of a list seems younger by the delay of
  // each message, so two hosts would keep an old list fresh for ever.
  const time_point Before = listReadAt();
  PeerReadAt = std::max(PeerReadAt, Found->second.ListReadAt);
  PeerConfirmedAt =
      std::max(PeerConfirmedAt, timeOfAge(State.ConfirmedAge, Now));
  return PeerReadAt > Before + Options.ReadInterval / 2;
}

void host_directory::setOwnState(const host_state &State, time_point Now) {
  if (State.ListDigest != Own.ListDigest ||
      State.ListPosition.Era != Own.ListPosition.Era) {
    PeerReadAt = time_point();
    PeerConfirmedAt = time_point();
  }
  Own = State;
  OwnListReadAt = timeOfAge(State.ListAge, Now);
}

bool host_directory::isLive(const entry &Entry, time_point Now) const {
  return Entry.HeardAt && Now - *Entry.HeardAt < Options.LivenessTimeout;
}

std::vector<gateway_host>
host_directory::sampleHosts(std::vector<gateway_host> Hosts, std::size_t Count,
                            random_source &Random) const {
  if (Hosts.size() <= Count)
    return Hosts;
  // Partial Fisher-Yates shuffle: the first `Count` elements are the sample.
  for (std::size_t Position = 0; Position < Count; ++Position)
    std::swap(Hosts[Position],
              Hosts[Position + Random.below(Hosts.size() - Position)]);
  Hosts.resize(Count);
  return Hosts;
}

std::vector<gateway_host>
host_directory::hostsIn(const data_centre_id &DataCentre) const {
  std::vector<gateway_host> Result;
  for (const auto &[Name, Entry] : Hosts)
    if (Entry.Host.DataCentre == DataCentre)
      Result.push_back(Entry.Host);
  return Result;
}

std::vector<gateway_host>
host_directory::liveAggregatorsIn(const data_centre_id &DataCentre,
                                  time_point Now) const {
  std::vector<gateway_host> Result;
  for (const auto &[Name, Entry] : Hosts)
    if (Entry.Host.DataCentre == DataCentre && isLive(Entry, Now))
      Result.push_back(Entry.Host);
  std::sort(Result.begin(), Result.end(), ranksBefore);
  if (Result.size() > Options.Aggregators)
    Result.resize(Options.Aggregators);
  return Result;
}

std::vector<gateway_host>
host_directory::localAggregators(time_point Now, random_source &Random) const {
  std::vector<gateway_host> Result =
      liveAggregatorsIn(Options.Self.DataCentre, Now);
  return Result.empty() ? localHosts(Random) : Result;
}

std::set<data_centre_id> host_directory::remoteDataCentres() const {
  std::set<data_centre_id> Result;
  for (const auto &[Name, Entry] : Hosts)
    if (!isLocal(Entry))
      Result.insert(Entry.Host.DataCentre);
  return Result;
}

std::vector<gateway_host>
host_directory::rankedHostsIn(const data_centre_id &DataCentre) const {
  std::vector<gateway_host> Result = hostsIn(DataCentre);
  std::sort(Result.begin(), Result.end(), ranksBefore);
  return Result;
}

std::vector<gateway_host>
host_directory::unheardRemoteAggregators(time_point Now) const {
  std::vector<gateway_host> Result;
  for (const data_centre_id &Each : remoteDataCentres()) {
    // Without a live host, `remoteAggregators` covers the data centre.
    if (liveAggregatorsIn(Each, Now).empty())
      continue;
    std::vector<gateway_host> Ranked = rankedHostsIn(Each);
    Ranked.resize(std::min(Ranked.size(), Options.Aggregators));
    for (gateway_host &Host : Ranked)
      if (!isLive(Hosts.at(Host.Host), Now))
        Result.push_back(std::move(Host));
  }
  return Result;
}

std::vector<gateway_host>
host_directory::remoteAggregators(time_point Now, random_source &Random) const {
  std::vector<gateway_host> Result;
  for (const data_centre_id &Each : remoteDataCentres()) {
    std::vector<gateway_host> Known = liveAggregatorsIn(Each, Now);
    if (Known.empty()) {
      // The highest-ranked hosts are probably the aggregators. Random hosts
      // cover the case that those are down.
      std::vector<gateway_host> Listed = rankedHostsIn(Each);
      const auto First =
          Listed.begin() + static_cast<std::ptrdiff_t>(
                               std::min(Listed.size(), Options.Aggregators));
      Known.assign(Listed.begin(), First);
      Listed.erase(Listed.begin(), First);
      Listed = sampleHosts(std::move(Listed), Options.FallbackTargets, Random);
      Known.insert(Known.end(), Listed.begin(), Listed.end());
    }
    Result.insert(Result.end(), Known.begin(), Known.end());
  }
  return Result;
}

std::vector<gateway_host>
host_directory::localHosts(random_source &Random) const {
  return sampleHosts(hostsIn(Options.Self.DataCentre), Options.MaxTargets,
                     Random);
}

std::vector<gateway_host>
host_directory::randomHosts(std::size_t Local, std::size_t Remote,
                            random_source &Random) const {
  std::vector<gateway_host> Result =
      sampleHosts(hostsIn(Options.Self.DataCentre), Local, Random);
  std::vector<gateway_host> Others;
  for (const auto &[Name, Entry] : Hosts)
    if (!isLocal(Entry))
      Others.push_back(Entry.Host);
  Others = sampleHosts(std::move(Others), Remote, Random);
  Result.insert(Result.end(), Others.begin(), Others.end());
  return Result;
}

int host_directory::fetchRank(const entry &Entry, time_point Now) const {
  enum : int { LocalAggregator, Local, Remote, Failed };
  if (Entry.FetchFailedAt &&
      Now - *Entry.FetchFailedAt < Options.FetchRetryPause)
    return Failed;
  if (!isLocal(Entry))
    return Remote;
  const auto Aggregators = liveAggregatorsIn(Options.Self.DataCentre, Now);
  return std::find(Aggregators.begin(), Aggregators.end(), Entry.Host) !=
                 Aggregators.end()
             ? LocalAggregator
             : Local;
}

// All hosts learn of a version at about the same time. If they chose the same
// host, its link would carry the body for each of them at once.
std::optional<gateway_host>
host_directory::hostWithNewerConfiguration(time_point Now,
                                           random_source &Random) const {
  config_version Newest = Own.Version;
  for (const auto &[Name, Entry] : Hosts)
    if (isLive(Entry, Now))
      Newest = std::max(Newest, Entry.State.Version);
  if (Newest == Own.Version)
    return std::nullopt;
  std::vector<gateway_host> Best;
  int BestRank = std::numeric_limits<int>::max();
  for (const auto &[Name, Entry] : Hosts) {
    if (!isLive(Entry, Now) || Entry.State.Version != Newest)
      continue;
    const int Rank = fetchRank(Entry, Now);
    if (Rank < BestRank)
      Best.clear();
    BestRank = std::min(BestRank, Rank);
    if (Rank == BestRank)
      Best.push_back(Entry.Host);
  }
  return Best[Random.below(Best.size())];
}

void host_directory::recordFetchFailure(const host_id &Host, time_point Now) {
  const auto Found = Hosts.find(Host);
  if (Found != Hosts.end())
    Found->second.FetchFailedAt = Now;
}

// Delays of messages make a reading seem younger than it is. Readings as close
// as this would make two hosts fetch each other's list in turn.
bool host_directory::isNewerList(const store_position &Position,
                                 time_point ReadAt, const store_position &Other,
                                 time_point OtherReadAt) const {
  if (Position.isComparableTo(Other))
    return Other.isBefore(Position);
  return ReadAt > OtherReadAt + Options.ReadInterval / 2;
}

std::optional<gateway_host>
host_directory::hostWithNewerServers(time_point Now) const {
  const entry *Best = nullptr;
  for (const auto &[Name, Entry] : Hosts) {
    const bool IsSame = Entry.State.ListDigest == Own.ListDigest &&
                        Entry.State.ListPosition.Era == Own.ListPosition.Era;
    if (!isLive(Entry, Now) || IsSame ||
        !isNewerList(Entry.State.ListPosition, Entry.ListReadAt,
                     Own.ListPosition, OwnListReadAt))
      continue;
    if (Best == nullptr || (isLocal(Entry) && !isLocal(*Best)) ||
        (isLocal(Entry) == isLocal(*Best) &&
         isNewerList(Entry.State.ListPosition, Entry.ListReadAt,
                     Best->State.ListPosition, Best->ListReadAt)))
      Best = &Entry;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Host);
}

std::size_t host_directory::ownRank(time_point Now) const {
  std::size_t Rank = 0;
  for (const auto &[Name, Entry] : Hosts)
    if (isLocal(Entry) && isLive(Entry, Now) &&
        ranksBefore(Entry.Host, Options.Self))
      ++Rank;
  return Rank;
}

exchange_duty host_directory::duty(time_point Now) const {
  const std::size_t Rank = ownRank(Now);
  return {.IsAggregator = Rank < Options.Aggregators,
          .IsFirst = Rank == 0,
          .IsInformed = isInformed(Now)};
}

bool host_directory::isInformed(time_point Now) const {
  if (!ListedSince)
    return false;
  if (Now - *ListedSince >= Options.InformedAfter)
    return true;
  // This host counts as listed and live.
  std::size_t Listed = 1;
  std::size_t Live = 1;
  for (const auto &[Name, Entry] : Hosts) {
    Listed += isLocal(Entry);
    Live += isLocal(Entry) && isLive(Entry, Now);
  }
  return 2 * Live >= Listed;
}

std::size_t host_directory::dataCentreRank(time_point Now) const {
  const gateway_host *OwnFirst = &Options.Self;
  for (const auto &[Name, Entry] : Hosts)
    if (isLocal(Entry) && isLive(Entry, Now) &&
        ranksBefore(Entry.Host, *OwnFirst))
      OwnFirst = &Entry.Host;
  std::set<data_centre_id> Before;
  for (const auto &[Name, Entry] : Hosts)
    if (!isLocal(Entry) && isLive(Entry, Now) &&
        ranksBefore(Entry.Host, *OwnFirst))
      Before.insert(Entry.Host.DataCentre);
  return Before.size();
}

// Followers in each data centre would multiply the calls to the store by the
// number of data centres. A data centre that does not hear of a reading in time
// reads for itself.
bool host_directory::followsConfiguration(time_point Now) const {
  if (hasReadList(Now))
    return true;
  const exchange_duty Duty = duty(Now);
  if (!Duty.IsAggregator)
    return false;
  const std::size_t Rank = dataCentreRank(Now);
  return Rank == 0 || (Duty.IsFirst && Rank < Options.ConfigurationDataCentres);
}

std::vector<gateway_host>
host_directory::configurationFollowers(time_point Now) const {
  // The first host of each data centre, this one included.
  std::map<data_centre_id, gateway_host> Firsts;
  const auto Offer = [&](const gateway_host &Host) {
    const auto [Found, IsNew] = Firsts.try_emplace(Host.DataCentre, Host);
    if (!IsNew && ranksBefore(Host, Found->second))
      Found->second = Host;
  };
  Offer(Options.Self);
  for (const auto &[Name, Entry] : Hosts)
    if (isLive(Entry, Now))
      Offer(Entry.Host);
  std::vector<gateway_host> Ranked;
  Ranked.reserve(Firsts.size());
  for (const auto &[DataCentre, First] : Firsts)
    Ranked.push_back(First);
  std::sort(Ranked.begin(), Ranked.end(), ranksBefore);
  if (Ranked.size() > Options.ConfigurationDataCentres)
    Ranked.resize(Options.ConfigurationDataCentres);
  std::vector<gateway_host> Result =
      liveAggregatorsIn(Ranked.front().DataCentre, Now);
  // This host may be one of them.
  if (Ranked.front().DataCentre == Options.Self.DataCentre &&
      ownRank(Now) < Options.Aggregators &&
      Result.size() == Options.Aggregators)
    Result.pop_back();
  for (std::size_t Index = 1; Index < Ranked.size(); ++Index)
    if (Ranked[Index].Host != Options.Self.Host)
      Result.push_back(Ranked[Index]);
  return Result;
}

std::vector<gateway_host> host_directory::verifiers(time_point Now) const {
  return duty(Now).IsAggregator
             ? configurationFollowers(Now)
             : liveAggregatorsIn(Options.Self.DataCentre, Now);
}

bool host_directory::followsHosts(time_point Now) const {
  return hasReadList(Now) || duty(Now).IsAggregator;
}

std::optional<gateway_host>
host_directory::aggregatorWithOtherHosts(time_point Now) const {
  for (const gateway_host &Each :
       liveAggregatorsIn(Options.Self.DataCentre, Now)) {
    const entry &Entry = Hosts.at(Each.Host);
    if (Entry.State.HostsDigest != Own.HostsDigest)
      return Each;
  }
  return std::nullopt;
}

time_point host_directory::listConfirmedAt() const {
  return std::max(listReadAt(), PeerConfirmedAt);
}

time_point host_directory::listReadAt() const {
  return std::max(OwnListReadAt, PeerReadAt);
}

time_point host_directory::nextListRead(time_point Now,
                                        random_source &Random) const {
  if (OwnListReadAt == time_point())
    return Now;
  const exchange_duty Duty = duty(Now);
  const bool Leads = Duty.IsAggregator && dataCentreRank(Now) == 0;
  if (Leads && Duty.IsFirst)
    return OwnListReadAt + Options.ReadInterval;
  if (Leads)
    return listConfirmedAt() + Options.BackupReadAge;
  // The other hosts of the data centre rely on what this host passes on.
  if (Duty.IsFirst)
    return listReadAt() + Options.RemoteBackupReadAge;
  return listConfirmedAt() + Options.FallbackReadAge +
         std::chrono::duration_cast<duration>(Options.ReadSpread *
                                              Random.unit());
}

std::vector<host_id> host_directory::hostsToRemove(time_point Now) const {
  std::vector<host_id> Result;
  if (!duty(Now).IsFirst)
    return Result;
  std::set<data_centre_id> Heard = {Options.Self.DataCentre};
  for (const auto &[Name, Entry] : Hosts)
    if (isLive(Entry, Now))
      Heard.insert(Entry.Host.DataCentre);
  for (const auto &[Name, Entry] : Hosts) {
    const time_point Since =
        std::max(Entry.ListedAt, Entry.HeardAt.value_or(time_point()));
    // A data centre that sends reports removes its own hosts.
    if (isLocal(Entry) ? Now - Since > Options.RemoveAfter
                       : !Heard.contains(Entry.Host.DataCentre) &&
                             Now - Since > Options.DataCentreRemoveAfter)
      Result.push_back(Name);
  }
  return Result;
}

std::size_t host_directory::liveHosts(time_point Now) const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Hosts.begin(), Hosts.end(),
                 [&](const auto &Each) { return isLive(Each.second, Now); }));
}

std::size_t host_directory::listedLocalHosts() const {
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(),
                    [&](const auto &Each) { return isLocal(Each.second); }));
}
