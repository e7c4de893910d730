#include "bw_measurement/detection/service_simulation.h"

#include "bw_detection/floor/ejection_floor.h"

#include <algorithm>
#include <string>
#include <tuple>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration WarmUp = 60s;
constexpr duration ConnectTime = 1ms;
constexpr duration FailureTime = 2ms;
constexpr duration AwayTime = 5s;
constexpr duration ColdTime = 8s;
// An ejection this soon after the end of a sickness is not a false one.
constexpr duration Aftermath = 2s;
constexpr time_point Never = time_point::max();
constexpr std::size_t QueuePerSlot = 2;

duration meanServiceTime(const service_profile &Profile,
                         const std::vector<service_time> &Times) {
  duration Mean{};
  for (std::size_t Kind = 0; Kind < Times.size(); ++Kind)
    Mean += std::chrono::duration_cast<duration>(Times[Kind].mean() *
                                                 Profile.Kinds[Kind].Share);
  return Mean;
}

std::vector<service_time> serviceTimes(const service_profile &Profile) {
  std::vector<service_time> Times;
  for (const kind_profile &Kind : Profile.Kinds)
    Times.emplace_back(Kind.Median, Kind.Sigma, Profile.TailShare);
  return Times;
}

duration meanInterarrival(const service_profile &Profile,
                          const std::vector<service_time> &Times) {
  const double Busy =
      Profile.Load * Profile.Slots * static_cast<double>(Profile.Instances);
  return std::chrono::duration_cast<duration>(meanServiceTime(Profile, Times) /
                                              Busy);
}

duration stretched(duration Time, double Factor) {
  return std::chrono::duration_cast<duration>(Time * Factor);
}

bool any(const per_kind<bool> &Kinds) {
  return std::find(Kinds.begin(), Kinds.end(), true) != Kinds.end();
}

} // namespace

bool service_simulation::timer::operator>(const timer &Other) const {
  return std::tie(Time, Sequence) > std::tie(Other.Time, Other.Sequence);
}

bool service_simulation::completion::operator>(const completion &Other) const {
  return std::tie(Time, Sequence) > std::tie(Other.Time, Other.Sequence);
}

service_simulation::service_simulation(const service_profile &ServiceProfile,
                                       const fault_scenario &FaultScenario,
                                       balancing_policy BalancingPolicy,
                                       std::uint64_t Seed)
    : Profile(ServiceProfile), Scenario(FaultScenario),
      Policy(std::move(BalancingPolicy)), Random(Seed),
      ServiceTimes(serviceTimes(Profile)),
      Interarrival(exponentialTable(meanInterarrival(Profile, ServiceTimes))),
      PauseGap(exponentialTable(Profile.PauseEvery)),
      PauseLength(exponentialTable(Profile.PauseMean)),
      Instances(Profile.Instances) {
  for (simulated_instance &Instance : Instances) {
    Instance.Slots.resize(Profile.Slots);
    Instance.Connections.resize(Profile.Slots);
    Instance.SlowFactor.fill(1);
  }
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    replaceConnections(Index);
    pauseLater(Index);
  }
}

simulation_result service_simulation::run(std::size_t Cycles) {
  if (Policy.Attach)
    Policy.Attach(*this);
  advance(time_point(WarmUp));
  Measuring = true;
  for (std::size_t Cycle = 0; Cycle < Cycles; ++Cycle) {
    beginFaults();
    advance(Now + FaultCycle);
  }
  Result.InstanceTime = FaultCycle * static_cast<std::int64_t>(Cycles) *
                        static_cast<std::int64_t>(Instances.size());
  return Result;
}

void service_simulation::after(duration Delay, std::function<void()> Action) {
  Timers.push({Now + Delay, ++Sequence, std::move(Action)});
}

void service_simulation::advance(time_point End) {
  for (;;) {
    const time_point Completion =
        Completions.empty() ? Never : Completions.top().Time;
    const time_point Timer = Timers.empty() ? Never : Timers.top().Time;
    const time_point Next = std::min({Completion, Timer, NextArrival});
    if (Next >= End)
      break;
    Now = Next;
    if (Next == Timer) {
      const std::function<void()> Action = Timers.top().Action;
      Timers.pop();
      Action();
    } else if (Next == Completion) {
      const completion Done = Completions.top();
      Completions.pop();
      const simulated_request &Request = request(Done.Position);
      if (Request.Busy && Request.Version == Done.Version)
        complete(Done.Position, Request.Outcome);
    } else {
      arrive();
    }
  }
  Now = End;
}

void service_simulation::arrive() {
  NextArrival = Now + Interarrival.draw(Random);
  double Point = Random.unit();
  std::size_t Kind = 0;
  while (Kind + 1 < Profile.Kinds.size() && Point >= Profile.Kinds[Kind].Share)
    Point -= Profile.Kinds[Kind++].Share;
  if (Measuring)
    ++Result.Offered;
  dispatch({.Kind = boundedKind(Kind), .Arrived = Now});
}

void service_simulation::dispatch(const simulated_request &Request) {
  const std::size_t Index = Policy.Pick(Request.Kind);
  simulated_instance &Instance = Instances[Index];
  const auto Free =
      std::find_if(Instance.Slots.begin(), Instance.Slots.end(),
                   [](const simulated_request &Slot) { return !Slot.Busy; });
  if (Free != Instance.Slots.end())
    start(Index, static_cast<std::size_t>(Free - Instance.Slots.begin()),
          Request);
  else if (Instance.Queue.size() < QueuePerSlot * Profile.Slots)
    Instance.Queue.push_back(Request);
}

void service_simulation::start(std::size_t Index, std::size_t Slot,
                               simulated_request Request) {
  simulated_instance &Instance = Instances[Index];
  simulated_connection &Kept = Instance.Connections[Slot];
  const bool Repeatable = Profile.Kinds[Request.Kind.value()].Repeatable;
  if (!Repeatable)
    Instance.NewestConnection = Instance.NewestConnection.next();
  Request.Connection = Repeatable ? Kept.Number : Instance.NewestConnection;
  Request.Started = Now;
  Request.Busy = true;
  Request.Version = Instance.Slots[Slot].Version + 1;
  drawFate(Index, Request, Repeatable && Kept.Silent, true);
  if (!Repeatable && Request.Finish != Never)
    Request.Finish += ConnectTime;
  Instance.Slots[Slot] = Request;
  ++Instance.Busy;
  schedule({Index, Slot});
  if (Policy.Started)
    Policy.Started({Index, Slot});
}

void service_simulation::drawFate(std::size_t Index, simulated_request &Request,
                                  bool SilentConnection, bool OwnerPath) {
  const simulated_instance &Instance = Instances[Index];
  const std::size_t Kind = Request.Kind.value();
  const duration Time =
      stretched(ServiceTimes[Kind].draw(Random), Instance.SlowFactor[Kind]);
  Request.Finish = std::max(Now, Instance.PausedUntil) + Time;
  Request.Outcome = server_outcome::Succeeded;
  if (Random.chance(Profile.ErrorShare))
    Request.Outcome = server_outcome::Failed;
  if (Random.chance(Instance.ErrorShare[Kind])) {
    Request.Outcome = server_outcome::Failed;
    Request.Finish = Now + FailureTime;
  }
  const bool NoAnswer = (OwnerPath && Instance.PathBroken) || SilentConnection;
  if (NoAnswer || Random.chance(Instance.StallShare[Kind]))
    Request.Finish = Never;
}

void service_simulation::schedule(slot_position Position) {
  simulated_request &Request = request(Position);
  time_point Time = Request.Finish;
  if (Time > Request.Arrived + Profile.Deadline) {
    Time = std::max(Now, Request.Arrived + Profile.Deadline);
    Request.Outcome = server_outcome::Unreachable;
  }
  Completions.push({Time, ++Sequence, Position, Request.Version});
}

void service_simulation::complete(slot_position Position,
                                  server_outcome Outcome) {
  simulated_request &Request = request(Position);
  Request.Busy = false;
  --Instances[Position.Instance].Busy;
  if (Measuring && Outcome == server_outcome::Succeeded)
    ++Result.Answered;
  if (Policy.Finished)
    Policy.Finished(Position, Outcome);
  startQueued(Position.Instance, Position.Slot);
}

void service_simulation::startQueued(std::size_t Index, std::size_t Slot) {
  simulated_instance &Instance = Instances[Index];
  while (!Instance.Queue.empty() && !Instance.Slots[Slot].Busy) {
    const simulated_request Next = Instance.Queue.front();
    Instance.Queue.pop_front();
    if (Now < Next.Arrived + Profile.Deadline)
      start(Index, Slot, Next);
  }
}

void service_simulation::pauseLater(std::size_t Index) {
  after(PauseGap.draw(Random), [this, Index] { pause(Index); });
}

void service_simulation::pause(std::size_t Index) {
  simulated_instance &Instance = Instances[Index];
  const duration Length = PauseLength.draw(Random);
  Instance.PausedUntil = Now + Length;
  for (std::size_t Slot = 0; Slot < Instance.Slots.size(); ++Slot) {
    simulated_request &Request = Instance.Slots[Slot];
    if (!Request.Busy || Request.Finish == Never)
      continue;
    Request.Finish += Length;
    ++Request.Version;
    schedule({Index, Slot});
  }
  pauseLater(Index);
}

std::size_t service_simulation::pickLessBusy(kind_index Kind) {
  const auto Draw = [&] {
    for (;;) {
      const std::size_t Index = Random.below(Instances.size());
      const simulated_instance &Instance = Instances[Index];
      if (!Instance.Leaving && !Instance.Excluded[Kind.value()])
        return Index;
    }
  };
  const auto Work = [&](std::size_t Index) {
    return Instances[Index].Busy + Instances[Index].Queue.size();
  };
  const std::size_t First = Draw();
  const std::size_t Second = Draw();
  return Work(Second) < Work(First) ? Second : First;
}

void service_simulation::exclude(kind_index Kind,
                                 const std::vector<double> &Scores) {
  std::vector<ejection_candidate> Candidates;
  for (std::size_t Index = 0; Index < Instances.size(); ++Index)
    Candidates.push_back({.Server = backend_server_id(std::to_string(Index)),
                          .Leaving = Instances[Index].Leaving,
                          .Ejected = Scores[Index] > 0,
                          .Score = Scores[Index]});
  for (simulated_instance &Instance : Instances)
    Instance.Excluded[Kind.value()] = false;
  const ejection_floor Floor(Profile.Floor);
  for (const backend_server_id &Server : Floor.selectExcluded(Candidates))
    Instances[std::stoul(Server.value())].Excluded[Kind.value()] = true;
  noteCapacity();
}

void service_simulation::noteEjected(std::size_t Index, kind_index Kind) {
  const simulated_instance &Instance = Instances[Index];
  const bool WasSick =
      Instance.LastSick != time_point() && Now - Instance.LastSick < Aftermath;
  if (!Instance.Sick[Kind.value()] && !WasSick && Measuring)
    ++Result.FalseEjections;
  noteDetected(Index, Kind);
}

void service_simulation::noteAllEjected(std::size_t Index) {
  const simulated_instance &Instance = Instances[Index];
  const bool WasSick =
      Instance.LastSick != time_point() && Now - Instance.LastSick < Aftermath;
  if (!any(Instance.Sick) && !WasSick && Measuring)
    ++Result.FalseEjections;
  noteAllDetected(Index);
}

void service_simulation::noteAllDetected(std::size_t Index) {
  for (std::uint8_t Kind = 0; Kind < MaxKinds; ++Kind)
    noteDetected(Index, kind_index(Kind));
}

void service_simulation::noteDetected(std::size_t Index, kind_index Kind) {
  simulated_instance &Instance = Instances[Index];
  if (!Instance.Undetected[Kind.value()])
    return;
  Instance.Undetected[Kind.value()] = false;
  Result.DetectionTimes.push_back(Now - Instance.FaultBegin);
}

void service_simulation::abandon(std::size_t Index,
                                 connection_number Connection) {
  simulated_instance &Instance = Instances[Index];
  for (std::size_t Slot = 0; Slot < Instance.Slots.size(); ++Slot) {
    const simulated_request Request = Instance.Slots[Slot];
    if (!Request.Busy || Request.Connection != Connection ||
        !Profile.Kinds[Request.Kind.value()].Repeatable)
      continue;
    replaceConnection(Instance, Slot);
    complete({Index, Slot}, server_outcome::Cancelled);
    dispatch({.Kind = Request.Kind, .Arrived = Request.Arrived});
    break;
  }
  noteConnections(Index);
}

void service_simulation::replaceConnections(std::size_t Index) {
  simulated_instance &Instance = Instances[Index];
  for (std::size_t Slot = 0; Slot < Instance.Slots.size(); ++Slot)
    if (!Instance.Slots[Slot].Busy)
      replaceConnection(Instance, Slot);
  noteConnections(Index);
}

void service_simulation::replaceConnection(simulated_instance &Instance,
                                           std::size_t Slot) {
  Instance.NewestConnection = Instance.NewestConnection.next();
  Instance.Connections[Slot] = {.Number = Instance.NewestConnection};
}

void service_simulation::noteConnections(std::size_t Index) {
  simulated_instance &Instance = Instances[Index];
  const bool AnySilent =
      std::any_of(Instance.Connections.begin(), Instance.Connections.end(),
                  [](const simulated_connection &Kept) { return Kept.Silent; });
  if (Instance.WasSilenced && !AnySilent) {
    Instance.WasSilenced = false;
    noteAllDetected(Index);
  }
}

void service_simulation::movePath(std::size_t Index) {
  if (!Instances[Index].PathBroken)
    return;
  Instances[Index].PathBroken = false;
  noteAllDetected(Index);
}

simulated_request service_simulation::probe(std::size_t Index,
                                            kind_index Kind) {
  simulated_request Request = {.Kind = Kind, .Arrived = Now, .Started = Now};
  drawFate(Index, Request, false, false);
  return Request;
}

// A scenario is about the faults it names, so a fault waits for a later cycle
// while an instance is still excluded because of an earlier one.
void service_simulation::beginFaults() {
  const bool Busy = std::any_of(Instances.begin(), Instances.end(),
                                [](const simulated_instance &Instance) {
                                  return any(Instance.Excluded);
                                });
  if (Busy)
    return;
  for (const fault &Fault : Scenario.Faults) {
    std::vector<std::size_t> Victims;
    for (std::size_t Count = victimCount(Fault.Reach); Count > 0; --Count)
      Victims.push_back(NextVictim++ % Instances.size());
    beginFault(Fault, Victims);
    after(FaultLength, [this, Fault, Victims] { endFault(Fault, Victims); });
  }
}

std::size_t service_simulation::victimCount(fault_reach Reach) const {
  if (Reach == fault_reach::OneServer)
    return 1;
  if (Reach == fault_reach::AllServers)
    return Instances.size();
  return std::max<std::size_t>(Instances.size() / 10, 1);
}

void service_simulation::beginFault(const fault &Fault,
                                    const std::vector<std::size_t> &Victims) {
  for (const std::size_t Index : Victims) {
    if (Fault.Effect == fault_effect::Restart) {
      restart(Index, Fault.Amount);
      continue;
    }
    Instances[Index].FaultBegin = Now;
    const bool Detectable = Fault.Reach != fault_reach::AllServers;
    for (std::size_t Kind = 0; Kind < Profile.Kinds.size(); ++Kind)
      if (Detectable && Fault.OnlyKind.value_or(Kind) == Kind)
        Instances[Index].Undetected[Kind] = true;
    setFault(Fault, Index, true);
    for (duration Begin{}; Begin < FaultLength && Fault.Period > 0s;
         Begin += Fault.Period) {
      if (Begin > 0s)
        after(Begin, [=, this] { setFault(Fault, Index, true); });
      after(Begin + Fault.OnTime, [=, this] { setFault(Fault, Index, false); });
    }
  }
}

void service_simulation::setFault(const fault &Fault, std::size_t Index,
                                  bool On) {
  simulated_instance &Instance = Instances[Index];
  for (std::size_t Kind = 0; Kind < Profile.Kinds.size(); ++Kind) {
    if (Fault.OnlyKind.value_or(Kind) != Kind)
      continue;
    if (Fault.Effect == fault_effect::Slow)
      Instance.SlowFactor[Kind] *= On ? Fault.Amount : 1 / Fault.Amount;
    if (Fault.Effect == fault_effect::Errors)
      Instance.ErrorShare[Kind] = On ? Fault.Amount : 0;
    if (Fault.Effect == fault_effect::Stalls)
      Instance.StallShare[Kind] = On ? Fault.Amount : 0;
    if (isServersFault(Fault))
      Instance.Sick[Kind] = On;
  }
  if (isServersFault(Fault) && !On)
    Instance.LastSick = Now;
  if (Fault.Effect == fault_effect::Partition)
    Instance.PathBroken = On;
  if (Fault.Effect == fault_effect::SilentConnections && On) {
    for (simulated_connection &Connection : Instance.Connections)
      Connection.Silent = true;
    Instance.WasSilenced = true;
    for (std::size_t Slot = 0; Slot < Instance.Slots.size(); ++Slot)
      silence({Index, Slot});
  }
  if (Policy.FaultsChanged)
    Policy.FaultsChanged();
  noteCapacity();
}

void service_simulation::silence(slot_position Position) {
  simulated_request &Request = request(Position);
  const simulated_connection &Kept =
      Instances[Position.Instance].Connections[Position.Slot];
  if (!Request.Busy || Request.Connection != Kept.Number)
    return;
  Request.Finish = Never;
  ++Request.Version;
  schedule(Position);
}

void service_simulation::endFault(const fault &Fault,
                                  const std::vector<std::size_t> &Victims) {
  for (const std::size_t Index : Victims) {
    simulated_instance &Instance = Instances[Index];
    if (Fault.Effect == fault_effect::Restart)
      continue;
    for (const bool Missed : Instance.Undetected) {
      if (!Missed)
        continue;
      Result.DetectionTimes.push_back(FaultLength);
      ++Result.MissedFaults;
    }
    Instance.Undetected = {};
    if (Fault.Period == 0s)
      setFault(Fault, Index, false);
  }
}

void service_simulation::restart(std::size_t Index, double ColdFactor) {
  simulated_instance &Instance = Instances[Index];
  Instance.Leaving = true;
  noteCapacity();
  after(AwayTime, [=, this] {
    simulated_instance &Returned = Instances[Index];
    Returned.Leaving = false;
    Returned.SlowFactor.fill(ColdFactor);
    if (Policy.Restarted)
      Policy.Restarted(Index);
    after(ColdTime, [=, this] { Instances[Index].SlowFactor.fill(1); });
  });
}

void service_simulation::noteCapacity() {
  if (!Measuring)
    return;
  for (std::size_t Kind = 0; Kind < Profile.Kinds.size(); ++Kind) {
    const auto Healthy = std::count_if(Instances.begin(), Instances.end(),
                                       [&](const simulated_instance &Instance) {
                                         return !Instance.Leaving &&
                                                !Instance.Excluded[Kind] &&
                                                !Instance.Sick[Kind];
                                       });
    Result.HealthyCapacityMin = std::min(
        Result.HealthyCapacityMin,
        static_cast<double>(Healthy) / static_cast<double>(Instances.size()));
  }
}
