#include "bw_decision_bench/benches/whole_decision.h"

#include "bw_decision_bench/figures/stopwatch.h"
#include "bw_decision_bench/memory/allocation_counter.h"

#include <algorithm>
#include <string>

using namespace bw;

whole_decision::whole_decision(const benchmark_context &Context, set_up SetUp)
    : Context(Context), SetUp(SetUp), Owners(settledOwners(Context.Fleet)),
      Routes(Context.Fleet.Routes),
      Picker(Owners, {.OwnDataCentre = Context.Fleet.Hosts.front().DataCentre}),
      Owned(Owners.owned()) {
  for (const picker_instance &Instance : Context.Fleet.Instances)
    addInstance(Instance);
  MostInFlight = inFlightOf(SetUp);
  if (SetUp == set_up::Overload)
    fillQueues();
}

std::size_t whole_decision::inFlightOf(set_up SetUp) const {
  switch (SetUp) {
  case set_up::OneHost:
    return Owned.size();
  case set_up::AllOwners:
    return Context.Fleet.Instances.size() / 4;
  case set_up::Overload:
    return SlotsOfQueues - 1;
  }
  return 0;
}

void whole_decision::step() {
  start();
  if (InFlight.size() > MostInFlight)
    end();
}

void whole_decision::addInstance(const picker_instance &Instance) {
  Picker.addInstance(Instance);
  const bool IsOwned =
      std::find(Owned.begin(), Owned.end(), Instance.Name) != Owned.end();
  if (SetUp != set_up::AllOwners && !IsOwned)
    return;
  Queues.emplace(Instance.Name, slot_queue({.Slots = Instance.Slots,
                                            .ColdSlots = Instance.Slots}));
  SlotsOfQueues += Instance.Slots.value();
}

void whole_decision::fillQueues() {
  const std::size_t Places = fair_queue_options{}.Capacity;
  for (std::size_t Count = 0; Count < Owned.size() * Places * 2; ++Count)
    start();
}

const backend_server_id &
whole_decision::queueFor(const server_pick &Pick) const {
  return SetUp == set_up::AllOwners ? Pick.Instance
                                    : Owned[Steps % Owned.size()];
}

// The time between requests is that of 65,000 requests a second.
void whole_decision::start() {
  const fleet &Fleet = Context.Fleet;
  ++Steps;
  Now += std::chrono::nanoseconds(15'385);
  const route *Route =
      Routes.find(Fleet.Paths[Context.Random.below(Fleet.Paths.size())]);
  const pick_result Result = Picker.pick(
      {.Service = Route->Service, .Kind = Route->Kind}, Now, Context.Random);
  const auto *Pick = std::get_if<server_pick>(&Result);
  if (Pick == nullptr)
    return;
  const attempt_id Attempt{
      .Request = {.Entry = {.Host = Fleet.Hosts.front().Name,
                            .Incarnation = incarnation_id(1)},
                  .Sequence = sequence_number(Steps)},
      .Attempt = sequence_number(1)};
  const backend_server_id &Queue = queueFor(*Pick);
  const slot_decisions Decisions = Queues.at(Queue).offer(
      {.Attempt = Attempt,
       .Caller = Fleet.Callers[Context.Random.below(Fleet.Callers.size())],
       .Long = Route->Long,
       .Deadline = Now + Route->Deadline},
      Now);
  if (Decisions.front().Type == slot_decision_type::Admitted) {
    ++Admitted;
    InFlight.push_back({*Pick, Queue, Attempt, Now});
  }
  for (const slot_decision &Decision : Decisions)
    if (Decision.Type == slot_decision_type::Refused)
      report(*Pick, Now, Queues.at(Queue));
}

// Requests that are admitted from the queue stand in for the one that ended.
void whole_decision::end() {
  const in_flight Ended = std::move(InFlight.front());
  InFlight.pop_front();
  slot_queue &Queue = Queues.at(Ended.Queue);
  for (slot_decision &Decision :
       Queue.finished(Ended.Attempt, slot_outcome::Answered, Now))
    if (Decision.Type == slot_decision_type::Admitted)
      InFlight.push_back(
          {Ended.Pick, Ended.Queue, std::move(Decision.Attempt), Now});
  report(Ended.Pick, Ended.Started, Queue);
}

void whole_decision::report(const server_pick &Pick, time_point Started,
                            const slot_queue &Queue) {
  const bool NoRoom = SetUp == set_up::Overload;
  Picker.finished({.Instance = Pick.Instance,
                   .Target = Pick.Target,
                   .Started = Started,
                   .FreeSlots = NoRoom ? slot_count(0) : Queue.freeSlots(),
                   .Score = 0.0},
                  Now);
}

namespace {

void measureSetUp(const benchmark_context &Context,
                  whole_decision::set_up SetUp, const std::string &Suffix) {
  whole_decision Decision(Context, SetUp);
  const double Time =
      fastestNanoseconds(Context.StepsPerRun, [&] { Decision.step(); });
  const allocation_totals Before = allocationTotals();
  for (std::size_t Step = 0; Step < Context.StepsPerRun; ++Step)
    Decision.step();
  const allocation_totals After = allocationTotals();
  const double Steps = static_cast<double>(Context.StepsPerRun);
  const auto Write = [&](const char *Name, double Value, const char *Unit) {
    Context.Figures.write(Name + Suffix, "instances",
                          Context.Fleet.Instances.size(), Value, Unit);
  };
  Write("time.decision_", Time, "ns");
  Write("bytes.decision_",
        static_cast<double>(After.AllocatedBytes - Before.AllocatedBytes) /
            Steps,
        "bytes");
  Write("count.allocations_per_decision_",
        static_cast<double>(After.Allocations - Before.Allocations) / Steps,
        "allocations");
  Write("share.admitted_at_once_",
        static_cast<double>(Decision.admitted()) /
            static_cast<double>(Decision.steps()),
        "ratio");
}

} // namespace

void bw::benchmarkWholeDecision(const benchmark_context &Context) {
  measureSetUp(Context, whole_decision::set_up::OneHost, "one_host");
  measureSetUp(Context, whole_decision::set_up::AllOwners, "all_owners");
  measureSetUp(Context, whole_decision::set_up::Overload, "overload");
}
