#include "bw_routing/picking/server_picker.h"

#include "bw_routing/routing_error.h"

#include <algorithm>

using namespace bw;

namespace {

/// Kinds of request per service that can have exclusions; one bit each of
/// `ExcludedKinds`.
constexpr std::size_t MaxKinds = 64;

/// Random draws in a large tier before all its instances are examined.
constexpr std::size_t MaxDraws = 8;

template <typename Name>
bool contains(std::span<const Name> Names, const Name &Wanted) {
  return std::find(Names.begin(), Names.end(), Wanted) != Names.end();
}

} // namespace

server_picker::server_picker(const ownership_map &Owners,
                             server_picker_options Options)
    : Owners(Owners), Options(std::move(Options)) {
  if (!this->Options.Rank)
    this->Options.Rank =
        [Own = this->Options.OwnDataCentre](const data_centre_id &Centre) {
          return Centre == Own ? 0 : 1;
        };
}

void server_picker::addInstance(const picker_instance &Instance) {
  const auto Known = InstanceIndexes.find(Instance.Name);
  const std::uint32_t Index =
      Known != InstanceIndexes.end() ? Known->second : newInstance(Instance);
  Instances[Index].Slots.setSlots(static_cast<float>(Instance.Slots.value()));
}

void server_picker::removeInstance(const backend_server_id &Instance) {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known == InstanceIndexes.end())
    return;
  const std::uint32_t Index = Known->second;
  service_entry &Service = Services[Details[Index].Service];
  for (tier &Tier : Service.Tiers)
    std::erase(Tier.Instances, Index);
  std::erase_if(Service.Tiers,
                [](const tier &Tier) { return Tier.Instances.empty(); });
  Instances[Index] = {};
  Details[Index] = {};
  FreeInstances.push_back(Index);
  InstanceIndexes.erase(Known);
}

void server_picker::setLeaving(const backend_server_id &Instance,
                               bool Leaving) {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known != InstanceIndexes.end())
    Instances[Known->second].Leaving = Leaving;
}

void server_picker::setExcluded(const service_id &Service,
                                const request_kind &Kind,
                                std::span<const backend_server_id> Excluded) {
  service_entry &Entry = serviceOf(Service);
  const std::uint64_t Mask = addKind(Entry, Service, Kind);
  for (const tier &Tier : Entry.Tiers)
    for (const std::uint32_t Index : Tier.Instances)
      Instances[Index].ExcludedKinds &= ~Mask;
  for (const backend_server_id &Name : Excluded) {
    const auto Known = InstanceIndexes.find(Name);
    if (Known != InstanceIndexes.end())
      Instances[Known->second].ExcludedKinds |= Mask;
  }
}

pick_result server_picker::pick(const pick_request &Request, time_point Now,
                                random_source &Random) {
  const auto Known = ServiceIndexes.find(Request.Service);
  if (Known == ServiceIndexes.end() || Services[Known->second].Tiers.empty())
    return pick_refusal::UnknownService;
  const service_entry &Service = Services[Known->second];
  pick_context Context{.Request = Request,
                       .KindMask = kindMask(Service, Request.Kind),
                       .Now = Now,
                       .Random = Random,
                       .Constraint = constraint::FreeSlot};
  for (const constraint Constraint :
       {constraint::FreeSlot, constraint::HealthyTarget,
        constraint::AnyTarget}) {
    Context.Constraint = Constraint;
    for (const tier &Tier : Service.Tiers)
      if (const auto Chosen = choose(Tier, Context))
        return commit(*Chosen, Context);
  }
  return refusalFor(Service, Context);
}

void server_picker::finished(const forward_result &Result, time_point Now) {
  const bool Answered = Result.Outcome == owner_outcome::Answered;
  const bool Slow = Answered && isSlow(Result.Overhead);
  const host_ref Target = Owners.refOf(Result.Target);
  if (Target.valid())
    mutableHealth(Target).recordOutcome(Result.Outcome, Slow, Result.Started,
                                        Now, Options.Health);
  const auto Known = InstanceIndexes.find(Result.Instance);
  if (Known == InstanceIndexes.end())
    return;
  instance_entry &Entry = Instances[Known->second];
  if (Result.FreeSlots)
    Entry.Slots.report(static_cast<float>(Result.FreeSlots->value()), Now);
  if (Result.Score) {
    Entry.Score = static_cast<float>(std::max(*Result.Score, 0.0));
    Entry.ScoreAt = Now;
  }
}

void server_picker::notOwner(const backend_server_id &Instance,
                             const host_id &Target, const host_id &AskInstead,
                             time_point Now) {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known == InstanceIndexes.end())
    return;
  instance_details &Redirected = Details[Known->second];
  Redirected.RedirectFrom = Owners.refOf(Target);
  Redirected.RedirectTo = Owners.refOf(AskInstead);
  Instances[Known->second].RedirectUntil = Now + Options.RedirectTime;
}

bool server_picker::isCircuitOpen(const host_id &Host, time_point Now) const {
  const owner_health *Known = healthOf(Owners.refOf(Host));
  return Known != nullptr && Known->isOpen(Now);
}

float server_picker::freeSlots(const backend_server_id &Instance,
                               time_point Now) const {
  const auto Known = InstanceIndexes.find(Instance);
  if (Known == InstanceIndexes.end())
    return 0;
  return Instances[Known->second].Slots.at(Now, Options.SlotHorizon);
}

server_picker::service_entry &
server_picker::serviceOf(const service_id &Service) {
  const auto [Place, Added] = ServiceIndexes.try_emplace(
      Service, static_cast<std::uint32_t>(Services.size()));
  if (Added)
    Services.emplace_back();
  return Services[Place->second];
}

std::uint32_t server_picker::newInstance(const picker_instance &Instance) {
  const auto Owned = Owners.indexOf(Instance.Name);
  if (!Owned)
    throw instance_unknown(Instance.Name.value());
  std::uint32_t Index = static_cast<std::uint32_t>(Instances.size());
  if (FreeInstances.empty()) {
    Instances.emplace_back();
    Details.emplace_back();
  } else {
    Index = FreeInstances.back();
    FreeInstances.pop_back();
  }
  service_entry &Service = serviceOf(Instance.Service);
  instance_entry &Entry = Instances[Index];
  Entry.Owned = *Owned;
  Entry.Slots = slot_estimate(static_cast<float>(Instance.Slots.value()));
  Details[Index].Name = Instance.Name;
  Details[Index].Service = ServiceIndexes.at(Instance.Service);
  tierOf(Service, Options.Rank(Instance.DataCentre)).Instances.push_back(Index);
  InstanceIndexes.emplace(Instance.Name, Index);
  return Index;
}

server_picker::tier &server_picker::tierOf(service_entry &Service, int Rank) {
  const auto Place = std::lower_bound(
      Service.Tiers.begin(), Service.Tiers.end(), Rank,
      [](const tier &Tier, int Wanted) { return Tier.Rank < Wanted; });
  if (Place != Service.Tiers.end() && Place->Rank == Rank)
    return *Place;
  return *Service.Tiers.insert(Place, tier{.Rank = Rank});
}

std::uint64_t server_picker::kindMask(const service_entry &Service,
                                      const request_kind &Kind) {
  const auto Place =
      std::find(Service.Kinds.begin(), Service.Kinds.end(), Kind);
  if (Place == Service.Kinds.end())
    return 0;
  return std::uint64_t(1) << (Place - Service.Kinds.begin());
}

std::uint64_t server_picker::addKind(service_entry &Entry,
                                     const service_id &Service,
                                     const request_kind &Kind) {
  if (kindMask(Entry, Kind) == 0) {
    if (Entry.Kinds.size() == MaxKinds)
      throw too_many_request_kinds(Service.value());
    Entry.Kinds.push_back(Kind);
  }
  return kindMask(Entry, Kind);
}

bool server_picker::available(const instance_entry &Entry,
                              const pick_context &Context) {
  return !Entry.Leaving && (Entry.ExcludedKinds & Context.KindMask) == 0;
}

bool server_picker::isEligible(std::uint32_t Index,
                               const pick_context &Context) const {
  const instance_entry &Entry = Instances[Index];
  if (!available(Entry, Context))
    return false;
  return Context.Constraint != constraint::FreeSlot ||
         Entry.Slots.at(Context.Now, Options.SlotHorizon) >=
             Options.MinFreeSlots;
}

// The instance must satisfy `isEligible`.
std::optional<server_picker::candidate>
server_picker::makeCandidate(std::uint32_t Index,
                             const pick_context &Context) const {
  if (contains(Context.Request.TriedInstances, Details[Index].Name))
    return std::nullopt;
  const host_ref Target = findTarget(Index, Context);
  if (!Target.valid())
    return std::nullopt;
  return candidate{
      .Instance = Index,
      .Target = Target,
      .Free = Instances[Index].Slots.at(Context.Now, Options.SlotHorizon)};
}

host_ref server_picker::findTarget(std::uint32_t Index,
                                   const pick_context &Context) const {
  const ownership_refs &Refs = Owners.refs(Instances[Index].Owned);
  const bool Redirected = Context.Now < Instances[Index].RedirectUntil;
  if (Redirected && isUsableTarget(Details[Index].RedirectTo, Context))
    return Details[Index].RedirectTo;
  for (const host_ref Host : {Refs.Owner, Refs.Successor}) {
    const bool Disowned = Redirected && Host == Details[Index].RedirectFrom;
    if (!Disowned && isUsableTarget(Host, Context))
      return Host;
  }
  return {};
}

bool server_picker::isUsableTarget(host_ref Host,
                                   const pick_context &Context) const {
  if (!Owners.isLive(Host))
    return false;
  if (contains(Context.Request.TriedHosts, Owners.hostName(Host)))
    return false;
  if (Context.Constraint == constraint::AnyTarget)
    return true;
  const owner_health *Known = healthOf(Host);
  return Known == nullptr || Known->allowsRequest(Context.Now, Options.Health);
}

// In a large tier, random draws find two candidates quickly while most
// instances have free slots. Otherwise the eligible instances are collected, a
// cheap check for each, and two of them are drawn.
std::optional<server_picker::candidate>
server_picker::choose(const tier &Tier, const pick_context &Context) {
  if (Tier.Instances.size() > MaxDraws * MaxDraws)
    if (const auto Found = chooseByDraws(Tier, Context))
      return Found;
  Eligible.clear();
  for (const std::uint32_t Index : Tier.Instances)
    if (isEligible(Index, Context))
      Eligible.push_back(Index);
  return chooseFromEligible(Context);
}

std::optional<server_picker::candidate>
server_picker::chooseByDraws(const tier &Tier,
                             const pick_context &Context) const {
  std::optional<candidate> First;
  for (std::size_t Draw = 0; Draw < MaxDraws; ++Draw) {
    const std::uint32_t Index =
        Tier.Instances[Context.Random.below(Tier.Instances.size())];
    if (!isEligible(Index, Context) || (First && First->Instance == Index))
      continue;
    const auto Found = makeCandidate(Index, Context);
    if (Found && First)
      return better(*First, *Found, Context.Now);
    if (Found)
      First = Found;
  }
  return std::nullopt;
}

std::optional<server_picker::candidate>
server_picker::chooseFromEligible(const pick_context &Context) {
  std::optional<candidate> First;
  while (!Eligible.empty()) {
    const std::size_t Place = Context.Random.below(Eligible.size());
    const auto Found = makeCandidate(Eligible[Place], Context);
    Eligible[Place] = Eligible.back();
    Eligible.pop_back();
    if (Found && First)
      return better(*First, *Found, Context.Now);
    if (Found)
      First = Found;
  }
  return First;
}

float server_picker::score(const instance_entry &Entry, time_point Now) const {
  const duration Age =
      std::clamp(Now - Entry.ScoreAt, duration(0), Options.ScoreHorizon);
  return Entry.Score *
         (1 - static_cast<float>(Age.count()) /
                  static_cast<float>(Options.ScoreHorizon.count()));
}

const server_picker::candidate &server_picker::better(const candidate &Left,
                                                      const candidate &Right,
                                                      time_point Now) const {
  const float LeftValue =
      Options.Preference(Left.Free, score(Instances[Left.Instance], Now));
  const float RightValue =
      Options.Preference(Right.Free, score(Instances[Right.Instance], Now));
  return RightValue > LeftValue ? Right : Left;
}

server_pick server_picker::commit(const candidate &Chosen,
                                  const pick_context &Context) {
  instance_entry &Entry = Instances[Chosen.Instance];
  Entry.Slots.requestSent(Context.Now, Options.SlotHorizon);
  mutableHealth(Chosen.Target).requestSent(Context.Now);
  const bool HasFreeSlot = Context.Constraint == constraint::FreeSlot;
  return {.Instance = Details[Chosen.Instance].Name,
          .Target = Owners.hostName(Chosen.Target),
          .BypassesOwner = Chosen.Target != Owners.refs(Entry.Owned).Owner,
          .HasFreeSlot = HasFreeSlot,
          .MayWait = !HasFreeSlot || Context.Request.OffersWithoutSlot >=
                                         Options.OffersWithoutWait};
}

pick_refusal server_picker::refusalFor(const service_entry &Service,
                                       const pick_context &Context) const {
  pick_refusal Reason = pick_refusal::NoneAvailable;
  for (const tier &Tier : Service.Tiers)
    for (const std::uint32_t Index : Tier.Instances) {
      const instance_entry &Entry = Instances[Index];
      if (!available(Entry, Context))
        continue;
      if (Owners.refs(Entry.Owned).Owner.valid())
        return pick_refusal::AllTried;
      Reason = pick_refusal::NoOwner;
    }
  return Reason;
}

const owner_health *server_picker::healthOf(host_ref Host) const {
  if (Host.Index >= Health.size() ||
      Health[Host.Index].Generation != Host.Generation)
    return nullptr;
  return &Health[Host.Index].Health;
}

owner_health &server_picker::mutableHealth(host_ref Host) {
  if (Host.Index >= Health.size())
    Health.resize(Host.Index + 1);
  host_entry &Entry = Health[Host.Index];
  if (Entry.Generation != Host.Generation)
    Entry = {.Generation = Host.Generation, .Health = {}};
  return Entry.Health;
}

// Samples above the limit are clamped, so that a few slow owners do not raise
// the mean that owners are compared with.
bool server_picker::isSlow(duration Overhead) {
  const double Sample = static_cast<double>(Overhead.count());
  const double Limit =
      std::max(MeanOverhead * Options.Health.SlowFactor,
               static_cast<double>(Options.Health.SlowFloor.count()));
  constexpr double Weight = 0.01;
  MeanOverhead += Weight * (std::min(Sample, Limit) - MeanOverhead);
  return Sample > Limit;
}
