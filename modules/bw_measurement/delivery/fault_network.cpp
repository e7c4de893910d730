#include "bw_measurement/delivery/fault_network.h"

#include <algorithm>
#include <charconv>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration CallerTimeout = 8s;
constexpr unsigned CallerTries = 4;

duration exponential(random_source &Random, duration Mean) {
  return duration(static_cast<std::int64_t>(
      Random.exponential(static_cast<double>(Mean.count()))));
}

} // namespace

fault_network::fault_network(fault_options Options, std::uint64_t Seed)
    : Options(Options), Random(Seed), Store(this->Options, Queue, Random),
      Ledger(Options.Requests) {
  for (std::size_t Index = 0; Index < Options.Hosts; ++Index)
    Hosts.push_back(std::make_unique<fault_host>(*this, Index));
}

delivery_verdicts fault_network::run() {
  const double Seconds =
      static_cast<double>(Options.Requests) / Options.RequestsPerSecond;
  const time_point End{duration(static_cast<std::int64_t>(Seconds * 1e9)) +
                       60s};
  scheduleFaults(End);
  scheduleTicks(End + 300s);
  Store.scheduleOutages(End);
  startCaller(0);
  while (Queue.runNext()) {
  }
  return Ledger.judge();
}

double fault_network::attemptsPerRequest() const {
  double Deliveries = 0;
  double Attempts = 0;
  for (const auto &Host : Hosts) {
    Deliveries += static_cast<double>(Host->deliveries());
    Attempts += static_cast<double>(Host->attempts());
  }
  return Attempts / Deliveries;
}

void fault_network::scheduleFaults(time_point End) {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    scheduleHostFaults(Index, End);
  for (time_point At{}; At < End; At += 500ms)
    Queue.at(At, [this] { ++ResourceVersion; });
}

void fault_network::scheduleHostFaults(std::size_t Index, time_point End) {
  fault_host &Host = *Hosts[Index];
  for (time_point At{}; At < End;) {
    At += exponential(Random, Options.RestartEvery);
    const duration Away = exponential(Random, 2s);
    Queue.at(At, [&Host, Away] { Host.crash(Away); });
  }
  for (time_point At{}; At < End;) {
    At += exponential(Random, Options.PauseEvery);
    const duration Length = exponential(Random, Options.PauseMean);
    const bool Suspended = Random.chance(0.3);
    Queue.at(At, [&Host, Length, Suspended] { Host.pause(Length, Suspended); });
  }
}

void fault_network::scheduleTicks(time_point End) {
  if (Queue.now() >= End)
    return;
  for (const auto &Host : Hosts)
    if (Host->isUp() && Queue.now() >= Host->pausedUntil())
      Host->tick();
  Queue.after(1s, [this, End] { scheduleTicks(End); });
}

const fault_host &fault_network::randomHost() {
  return *Hosts[Random.below(Hosts.size())];
}

fault_host *fault_network::findHost(const host_id &Host) {
  for (const auto &Candidate : Hosts)
    if (Candidate->id().Host == Host)
      return Candidate.get();
  return nullptr;
}

duration fault_network::transitTime() {
  const duration Usual = 500us + duration(Random.below(4'000'000));
  if (!Random.chance(Options.LateChance))
    return Usual;
  return 100ms + exponential(Random, Options.LateMean);
}

void fault_network::sendToDaemon(const daemon_id &To,
                                 const host_action &Deliver,
                                 const event_queue::action &Lost) {
  const fault_host *Host = findHost(To.Host);
  const bool Gone = !Host->isUp() || Host->id() != To;
  const bool Dropped = Gone || Random.chance(Options.LossChance);
  const duration Transit = transitTime();
  // A sender may see its connection break while the message is still on its
  // way, or see nothing although the message is lost.
  if (Lost && (Dropped || Transit >= 100ms) && Random.chance(0.6))
    Queue.after(duration(Random.below(50'000'000)), Lost);
  if (Dropped)
    return;
  onDaemon(To, Transit, Deliver);
  if (Random.chance(Options.DuplicateChance))
    onDaemon(To, transitTime() * 3, Deliver);
}

void fault_network::sendToHost(const host_id &To, const host_action &Deliver) {
  if (Random.chance(Options.LossChance))
    return;
  Queue.after(transitTime(),
              [this, To, Deliver] { deliverTo(To, nullptr, Deliver); });
  if (Random.chance(Options.DuplicateChance))
    Queue.after(transitTime() * 3,
                [this, To, Deliver] { deliverTo(To, nullptr, Deliver); });
}

void fault_network::onDaemon(const daemon_id &To, duration Delay,
                             const host_action &Action) {
  Queue.after(Delay, [this, To, Action] {
    deliverTo(To.Host, &To.Incarnation, Action);
  });
}

void fault_network::deliverTo(const host_id &To,
                              const incarnation_id *Incarnation,
                              const host_action &Deliver) {
  fault_host &Host = *findHost(To);
  if (!Host.isUp())
    return;
  if (Incarnation == nullptr || *Incarnation == Host.id().Incarnation)
    Host.perform(Deliver);
}

void fault_network::startCaller(std::uint64_t Number) {
  if (Number >= Options.Requests)
    return;
  auto Caller = std::make_shared<caller>();
  Caller->Try.Request = caller_request(Number);
  Caller->Try.Submission = Random.chance(0.7);
  if (Caller->Try.Submission)
    Ledger.expectSubmission(Caller->Try.Request);
  fault_host &Issuer = *Hosts[Random.below(Hosts.size())];
  if (Caller->Try.Submission && Random.chance(0.3) && Issuer.isUp())
    Caller->Try.Ticket = Issuer.issueTicket();
  callEntryHost(Caller);
  const duration Gap{static_cast<std::int64_t>(
      Random.exponential(1e9 / Options.RequestsPerSecond))};
  Queue.after(Gap, [this, Number] { startCaller(Number + 1); });
}

// A caller repeats a submission under the same key or ticket until it knows.
// A fetch has no identity, so each try is a request of its own; one is enough.
void fault_network::callEntryHost(const std::shared_ptr<caller> &Caller) {
  const unsigned Tries = Caller->Try.Submission ? CallerTries : 1;
  if (Caller->Knows || Caller->Tries >= Tries)
    return;
  ++Caller->Tries;
  sendTry(Caller);
  // The balancer may repeat a submission by itself, also much later.
  if (Caller->Try.Submission && Random.chance(Options.DuplicateChance))
    Queue.after(transitTime() * 10, [this, Caller] { sendTry(Caller); });
  const duration Patience =
      CallerTimeout + duration(Random.below(4'000'000'000));
  Queue.after(Patience, [this, Caller] { callEntryHost(Caller); });
}

void fault_network::sendTry(const std::shared_ptr<caller> &Caller) {
  const outcome_reply Reply = [this, Caller](request_outcome Outcome) {
    Ledger.told(Caller->Try.Request, Outcome);
    const bool Arrives = !Random.chance(Options.LossChance);
    if (Arrives && Outcome != request_outcome::Unknown)
      Caller->Knows = true;
  };
  const host_action Deliver = [Caller, Reply](fault_host &Entry) {
    Entry.submit(Caller->Try, Reply);
  };
  const host_id Entry = randomHost().id().Host;
  if (Random.chance(Options.LossChance))
    return;
  Queue.after(transitTime(),
              [this, Entry, Deliver] { deliverTo(Entry, nullptr, Deliver); });
}
