#include "bw_routing/ownership/ownership_map.h"

#include "bw_routing/routing_error.h"

#include <algorithm>
#include <cassert>

using namespace bw;

ownership_map::ownership_map(ownership_options Options)
    : Options(std::move(Options)) {}

ownership_changes ownership_map::addHost(const host_id &Host,
                                         const data_centre_id &DataCentre,
                                         time_point ReadySince,
                                         time_point Now) {
  ownership_changes Changes;
  const std::uint32_t Centre = centreIndex(DataCentre);
  const auto Known = HostIndexes.find(Host);
  if (Known != HostIndexes.end()) {
    if (Hosts[Known->second].Centre == Centre)
      return Changes;
    Changes = removeHost(Host, Now);
  }
  const std::uint32_t Index = newHost(Host, Centre, ReadySince);
  Centres[Centre].Hosts.push_back(Index);
  Centres[Centre].RecentHosts.push_back(Index);
  updateCentre(Centres[Centre], Now, Changes);
  return Changes;
}

ownership_changes ownership_map::removeHost(const host_id &Host,
                                            time_point Now) {
  ownership_changes Changes;
  const auto Known = HostIndexes.find(Host);
  if (Known == HostIndexes.end())
    return Changes;
  const std::uint32_t Index = Known->second;
  centre_entry &Centre = Centres[Hosts[Index].Centre];
  if (Hosts[Index].Active)
    deactivate(Centre, Index, Changes);
  std::erase(Centre.Hosts, Index);
  std::erase(Centre.RecentHosts, Index);
  HostIndexes.erase(Known);
  ++Hosts[Index].Generation;
  FreeHosts.push_back(Index);
  updateCentre(Centre, Now, Changes);
  return Changes;
}

instance_index ownership_map::addInstance(const backend_server_id &Instance,
                                          const data_centre_id &DataCentre) {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known != InstanceIndexes.end())
    return instance_index(Known->second);
  const std::uint32_t Index = newInstance();
  instance_entry &Entry = Instances[Index];
  Entry.Name = Instance;
  Entry.Hash = stableHash(Instance.value());
  Entry.Centre = centreIndex(DataCentre);
  recompute(Entry);
  Refs[Index] = {refAt(Entry.Owner), refAt(Entry.Successor)};
  Centres[Entry.Centre].Instances.push_back(Index);
  InstanceIndexes.emplace(Instance, Index);
  return instance_index(Index);
}

void ownership_map::removeInstance(const backend_server_id &Instance) {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known == InstanceIndexes.end())
    return;
  const std::uint32_t Index = Known->second;
  std::erase(Centres[Instances[Index].Centre].Instances, Index);
  Instances[Index] = {};
  FreeInstances.push_back(Index);
  InstanceIndexes.erase(Known);
}

ownership_changes ownership_map::tick(time_point Now) {
  ownership_changes Changes;
  for (centre_entry &Centre : Centres)
    updateCentre(Centre, Now, Changes);
  return Changes;
}

std::optional<time_point> ownership_map::nextTick() const {
  std::optional<time_point> Next;
  for (const centre_entry &Centre : Centres) {
    if (Centre.RecentHosts.empty())
      continue;
    const time_point Oldest = oldestReady(Centre);
    for (const std::uint32_t Host : Centre.RecentHosts) {
      if (Hosts[Host].Active)
        continue;
      const time_point From = activeFrom(Hosts[Host], Oldest);
      Next = Next ? std::min(*Next, From) : From;
    }
  }
  return Next;
}

std::optional<instance_index>
ownership_map::indexOf(const backend_server_id &Name) const {
  const auto Known = InstanceIndexes.find(Name);
  if (Known == InstanceIndexes.end())
    return std::nullopt;
  return instance_index(Known->second);
}

ownership ownership_map::find(const backend_server_id &Name) const {
  const auto Known = InstanceIndexes.find(Name);
  if (Known == InstanceIndexes.end())
    return {};
  return namesOf(Instances[Known->second]);
}

host_ref ownership_map::refOf(const host_id &Host) const {
  const auto Known = HostIndexes.find(Host);
  return refAt(Known == HostIndexes.end() ? None : Known->second);
}

const host_id &ownership_map::hostName(host_ref Host) const {
  assert(isLive(Host));
  return Hosts[Host.Index].Host;
}

std::vector<backend_server_id> ownership_map::owned() const {
  return listInstances(&instance_entry::Owner);
}

std::vector<backend_server_id> ownership_map::succeeded() const {
  return listInstances(&instance_entry::Successor);
}

std::vector<host_id> ownership_map::topHosts(const std::string &Key,
                                             const data_centre_id &DataCentre,
                                             std::size_t Count) const {
  const auto Centre = CentreIndexes.find(DataCentre);
  if (Centre == CentreIndexes.end())
    return {};
  struct scored_host {
    std::uint32_t Host;
    std::uint64_t Score;
  };
  const std::uint64_t Hash = stableHash(Key);
  std::vector<scored_host> Scored;
  for (const std::uint32_t Host : Centres[Centre->second].ActiveHosts)
    Scored.push_back({Host, Options.Score(Hosts[Host].Hash, Hash)});
  const std::size_t Kept = std::min(Count, Scored.size());
  std::partial_sort(
      Scored.begin(), Scored.begin() + static_cast<std::ptrdiff_t>(Kept),
      Scored.end(), [&](const scored_host &Left, const scored_host &Right) {
        return outranks(Left.Host, Left.Score, Right.Host, Right.Score);
      });
  std::vector<host_id> Names;
  for (std::size_t Place = 0; Place < Kept; ++Place)
    Names.push_back(Hosts[Scored[Place].Host].Host);
  return Names;
}

std::uint32_t ownership_map::centreIndex(const data_centre_id &DataCentre) {
  const auto [Place, Added] = CentreIndexes.try_emplace(
      DataCentre, static_cast<std::uint32_t>(Centres.size()));
  if (Added)
    Centres.emplace_back();
  return Place->second;
}

std::uint32_t ownership_map::newHost(const host_id &Host, std::uint32_t Centre,
                                     time_point ReadySince) {
  std::uint32_t Index = static_cast<std::uint32_t>(Hosts.size());
  if (FreeHosts.empty()) {
    Hosts.emplace_back();
  } else {
    Index = FreeHosts.back();
    FreeHosts.pop_back();
  }
  host_entry &Entry = Hosts[Index];
  Entry.Host = Host;
  Entry.Hash = stableHash(Host.value());
  Entry.Centre = Centre;
  Entry.ReadySince = ReadySince;
  Entry.Active = false;
  HostIndexes.emplace(Host, Index);
  return Index;
}

std::uint32_t ownership_map::newInstance() {
  if (FreeInstances.empty()) {
    Instances.emplace_back();
    Refs.emplace_back();
    return static_cast<std::uint32_t>(Instances.size() - 1);
  }
  const std::uint32_t Index = FreeInstances.back();
  FreeInstances.pop_back();
  return Index;
}

time_point ownership_map::oldestReady(const centre_entry &Centre) const {
  time_point Oldest = time_point::max();
  for (const std::uint32_t Host : Centre.Hosts)
    Oldest = std::min(Oldest, Hosts[Host].ReadySince);
  return Oldest;
}

time_point ownership_map::activeFrom(const host_entry &Host,
                                     time_point Oldest) const {
  const bool IsInitialHost = Host.ReadySince - Oldest <= Options.TakeoverDelay;
  return IsInitialHost ? Host.ReadySince
                       : Host.ReadySince + Options.TakeoverDelay;
}

bool ownership_map::isRecent(std::uint32_t Host, time_point Now) const {
  return Hosts[Host].ReadySince + Options.TakeoverDelay > Now;
}

// Only recent hosts can become active or inactive as time passes or as older
// hosts are added and removed.
void ownership_map::updateCentre(centre_entry &Centre, time_point Now,
                                 ownership_changes &Changes) {
  if (Centre.RecentHosts.empty())
    return;
  const time_point Oldest = oldestReady(Centre);
  for (const std::uint32_t Host : Centre.RecentHosts)
    setActive(Centre, Host, activeFrom(Hosts[Host], Oldest) <= Now, Changes);
  std::erase_if(Centre.RecentHosts,
                [&](std::uint32_t Host) { return !isRecent(Host, Now); });
}

void ownership_map::setActive(centre_entry &Centre, std::uint32_t Host,
                              bool Active, ownership_changes &Changes) {
  if (Hosts[Host].Active == Active)
    return;
  if (Active)
    activate(Centre, Host, Changes);
  else
    deactivate(Centre, Host, Changes);
}

void ownership_map::activate(centre_entry &Centre, std::uint32_t Host,
                             ownership_changes &Changes) {
  Hosts[Host].Active = true;
  Centre.ActiveHosts.push_back(Host);
  for (const std::uint32_t Index : Centre.Instances) {
    instance_entry &Instance = Instances[Index];
    const std::uint32_t Owner = Instance.Owner;
    const std::uint32_t Successor = Instance.Successor;
    if (considerHost(Instance, Host))
      recordChange(Index, {nameAt(Owner), nameAt(Successor)}, Changes);
  }
}

void ownership_map::deactivate(centre_entry &Centre, std::uint32_t Host,
                               ownership_changes &Changes) {
  Hosts[Host].Active = false;
  std::erase(Centre.ActiveHosts, Host);
  for (const std::uint32_t Index : Centre.Instances) {
    instance_entry &Instance = Instances[Index];
    if (Instance.Owner != Host && Instance.Successor != Host)
      continue;
    ownership Before = namesOf(Instance);
    recompute(Instance);
    recordChange(Index, std::move(Before), Changes);
  }
}

// Ties are broken by host name, so that all hosts agree.
bool ownership_map::outranks(std::uint32_t Candidate, std::uint64_t Score,
                             std::uint32_t Current,
                             std::uint64_t CurrentScore) const {
  if (Current == None)
    return true;
  if (Score != CurrentScore)
    return Score > CurrentScore;
  return Hosts[Candidate].Host < Hosts[Current].Host;
}

bool ownership_map::considerHost(instance_entry &Instance,
                                 std::uint32_t Host) const {
  const std::uint64_t Score = Options.Score(Hosts[Host].Hash, Instance.Hash);
  if (outranks(Host, Score, Instance.Owner, Instance.OwnerScore)) {
    Instance.Successor = Instance.Owner;
    Instance.SuccessorScore = Instance.OwnerScore;
    Instance.Owner = Host;
    Instance.OwnerScore = Score;
    return true;
  }
  if (outranks(Host, Score, Instance.Successor, Instance.SuccessorScore)) {
    Instance.Successor = Host;
    Instance.SuccessorScore = Score;
    return true;
  }
  return false;
}

void ownership_map::recompute(instance_entry &Instance) const {
  Instance.Owner = None;
  Instance.Successor = None;
  for (const std::uint32_t Host : Centres[Instance.Centre].ActiveHosts)
    considerHost(Instance, Host);
}

void ownership_map::recordChange(std::uint32_t Index, ownership Before,
                                 ownership_changes &Changes) {
  const instance_entry &Instance = Instances[Index];
  Refs[Index] = {refAt(Instance.Owner), refAt(Instance.Successor)};
  Changes.push_back({.Instance = Instance.Name,
                     .Before = std::move(Before),
                     .After = namesOf(Instance)});
}

const host_id &ownership_map::nameAt(std::uint32_t Host) const {
  static const host_id Missing;
  return Host == None ? Missing : Hosts[Host].Host;
}

ownership ownership_map::namesOf(const instance_entry &Instance) const {
  return {.Owner = nameAt(Instance.Owner),
          .Successor = nameAt(Instance.Successor)};
}

host_ref ownership_map::refAt(std::uint32_t Host) const {
  if (Host == None)
    return {};
  return {.Index = Host, .Generation = Hosts[Host].Generation};
}

std::vector<backend_server_id>
ownership_map::listInstances(std::uint32_t instance_entry::*Role) const {
  std::vector<backend_server_id> Names;
  const host_ref Self = refOf(Options.Self);
  if (!Self.valid())
    return Names;
  for (const std::uint32_t Index : Centres[Hosts[Self.Index].Centre].Instances)
    if (Instances[Index].*Role == Self.Index)
      Names.push_back(Instances[Index].Name);
  return Names;
}
