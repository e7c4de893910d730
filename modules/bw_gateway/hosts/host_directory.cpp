#include "bw_gateway/hosts/host_directory.h"

#include <algorithm>
#include <set>

using namespace bw;

namespace {

// A list of unknown age was read at no known time.
time_point readAt(const host_state &State, time_point Now) {
  return State.ListAge > Now.time_since_epoch() ? time_point()
                                                : Now - State.ListAge;
}

} // namespace

host_directory::host_directory(host_directory_options GivenOptions)
    : Options(std::move(GivenOptions)) {}

void host_directory::listed(const std::vector<gateway_host> &List,
                            time_point Now) {
  std::set<host_id> Names;
  for (const gateway_host &Each : List) {
    if (Each.Host == Options.Self)
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

void host_directory::heard(const host_id &Host, const host_state &State,
                           time_point Now) {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return;
  Found->second.State = State;
  Found->second.ListReadAt = readAt(State, Now);
  Found->second.HeardAt = Now;
}

void host_directory::ownState(const host_state &State, time_point Now) {
  Own = State;
  OwnListReadAt = readAt(State, Now);
}

bool host_directory::isLive(const entry &Entry, time_point Now) const {
  return Entry.HeardAt && Now - *Entry.HeardAt < Options.SilentAfter;
}

std::vector<gateway_host> host_directory::targets(bool IsNear,
                                                  random_source &Random) const {
  std::vector<gateway_host> Result;
  for (const auto &[Name, Entry] : Hosts)
    if ((Entry.Host.DataCentre == Options.DataCentre) == IsNear)
      Result.push_back(Entry.Host);
  // The first places of a partial shuffle are a random choice.
  for (std::size_t Place = 0;
       Place < Options.MaxTargets && Result.size() > Options.MaxTargets;
       ++Place)
    std::swap(Result[Place],
              Result[Place + Random.below(Result.size() - Place)]);
  if (Result.size() > Options.MaxTargets)
    Result.resize(Options.MaxTargets);
  return Result;
}

std::vector<gateway_host>
host_directory::targetsNear(random_source &Random) const {
  return targets(true, Random);
}

std::vector<gateway_host>
host_directory::targetsFar(random_source &Random) const {
  return targets(false, Random);
}

std::optional<gateway_host>
host_directory::newerConfiguration(time_point Now) const {
  const entry *Best = nullptr;
  for (const auto &[Name, Entry] : Hosts)
    if (isLive(Entry, Now) && Entry.State.Version > Own.Version &&
        (Best == nullptr || Entry.State.Version > Best->State.Version))
      Best = &Entry;
  return Best == nullptr ? std::nullopt : std::optional(Best->Host);
}

std::optional<gateway_host> host_directory::newerServers(time_point Now) const {
  const entry *Best = nullptr;
  const auto IsNear = [&](const entry &Entry) {
    return Entry.Host.DataCentre == Options.DataCentre;
  };
  for (const auto &[Name, Entry] : Hosts) {
    if (!isLive(Entry, Now) || Entry.State.ListRevision <= Own.ListRevision ||
        Entry.State.ListDigest == Own.ListDigest)
      continue;
    if (Best == nullptr || (IsNear(Entry) && !IsNear(*Best)) ||
        (IsNear(Entry) == IsNear(*Best) &&
         Entry.State.ListRevision > Best->State.ListRevision))
      Best = &Entry;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Host);
}

std::size_t host_directory::ownRank(time_point Now) const {
  std::size_t Rank = 0;
  for (const auto &[Name, Entry] : Hosts)
    if (Entry.Host.DataCentre == Options.DataCentre && isLive(Entry, Now) &&
        Name < Options.Self)
      ++Rank;
  return Rank;
}

bool host_directory::followsStore(time_point Now) const {
  return ownRank(Now) < Options.ListReaders ||
         (ReadSelfAt && Now - *ReadSelfAt < Options.FollowAfterRead);
}

time_point host_directory::listConfirmedAt(time_point Now) const {
  time_point Newest = OwnListReadAt;
  for (const auto &[Name, Entry] : Hosts)
    if (isLive(Entry, Now) && Entry.State.ListDigest == Own.ListDigest)
      Newest = std::max(Newest, Entry.ListReadAt);
  return Newest;
}

time_point host_directory::nextListRead(time_point Now,
                                        random_source &Random) const {
  if (OwnListReadAt == time_point())
    return Now;
  if (ownRank(Now) < Options.ListReaders)
    return OwnListReadAt + Options.ReadInterval;
  return listConfirmedAt(Now) + Options.ReadWhenOlder +
         std::chrono::duration_cast<duration>(Options.ReadSpread *
                                              Random.unit());
}

std::vector<host_id> host_directory::goneHosts(time_point Now) const {
  std::vector<host_id> Result;
  for (const auto &[Name, Entry] : Hosts) {
    if (isLive(Entry, Now) && Name < Options.Self)
      return {};
    const time_point Since =
        std::max(Entry.ListedAt, Entry.HeardAt.value_or(time_point()));
    if (Now - Since > Options.GoneAfter)
      Result.push_back(Name);
  }
  return Result;
}

std::size_t host_directory::liveHosts(time_point Now) const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Hosts.begin(), Hosts.end(),
                 [&](const auto &Each) { return isLive(Each.second, Now); }));
}
