#include "bw_measurement/delivery/fault_host.h"

#include "bw_measurement/delivery/fault_network.h"

#include <algorithm>
#include <utility>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration RequestDeadline = 4s;
constexpr duration RouteTimeout = 6s;
constexpr byte_count ResourceLength{1'000};
constexpr byte_count ChunkLength{100};
// Shorter than the caller's tries and late copies take, so that expired
// tickets and forgotten claims occur.
constexpr duration SubmissionLifetime = 20s;
constexpr attempt_outcome RanOkay{request_outcome::Done, answer_status(200)};

} // namespace

fault_host::fault_host(fault_network &Network, std::size_t Index)
    : Network(Network) {
  Daemon.Host = host_id("host-" + std::to_string(Index));
  start();
}

void fault_host::start() {
  random_source &Random = Network.random();
  Daemon.Incarnation = incarnation_id(Random.next());
  ClockOffset =
      duration(static_cast<std::int64_t>(Random.below(1'000'000))) * 1'000'000;
  ClockDrift = (Random.unit() - 0.5) * 2e-4;
  submission_table_options Options;
  Options.TicketLifetime = SubmissionLifetime;
  Submissions = std::make_unique<submission_table>(Daemon, Random, Options);
  // Small, so that records are dropped for lack of room too.
  attempt_table_options AttemptOptions;
  AttemptOptions.Capacity = 800;
  AttemptOptions.Retention = 10s;
  Attempts = std::make_unique<attempt_table>(AttemptOptions);
  Deliveries.clear();
  Waiters.clear();
  LastRequest = {};
  Up = true;
}

void fault_host::crash(duration Away) {
  if (!Up)
    return;
  Up = false;
  PausedUntil = {};
  Backlog.clear();
  Network.queue().after(Away, [this] { start(); });
}

void fault_host::pause(duration Length, bool Suspended) {
  const time_point Until = Network.queue().now() + Length;
  if (!Up || Until <= PausedUntil)
    return;
  if (Suspended)
    ClockOffset -= Length;
  PausedUntil = Until;
  Network.queue().at(Until, [this] { resume(); });
}

void fault_host::resume() {
  if (Network.queue().now() < PausedUntil)
    return;
  while (!Backlog.empty()) {
    const auto Action = std::move(Backlog.front());
    Backlog.pop_front();
    Action(*this);
  }
}

void fault_host::perform(const std::function<void(fault_host &)> &Action) {
  const bool Paused = Network.queue().now() < PausedUntil;
  if (Paused || !Backlog.empty())
    Backlog.push_back(Action);
  else
    Action(*this);
}

time_point fault_host::local() const {
  const duration World = Network.queue().now().time_since_epoch();
  const double Drifted = static_cast<double>(World.count()) * ClockDrift;
  return time_point(World + ClockOffset +
                    duration(static_cast<std::int64_t>(Drifted)));
}

void fault_host::tick() {
  Submissions->tick(local());
  Attempts->tick(local());
}

void fault_host::later(duration Delay, const std::function<void()> &Action) {
  Network.onDaemon(Daemon, Delay, [Action](fault_host &) { Action(); });
}

bool fault_host::takeRetryToken() {
  if (RetryTokens < 1)
    return false;
  RetryTokens -= 1;
  return true;
}

submission_ticket fault_host::issueTicket() {
  return Submissions->issue(caller_id("caller"), service_id("diary"), local());
}

// Submissions: what the table decides, carried out.

void fault_host::submit(const caller_try &Try, const outcome_reply &Reply) {
  if (!Try.Submission)
    run(Try, std::nullopt, Reply);
  else if (Try.Ticket)
    act(Submissions->offerTicket(*Try.Ticket, caller_id("caller"),
                                 service_id("diary"), local()),
        Try, Reply);
  else
    act(Submissions->offerIdentity(Try.identity(), local()), Try, Reply);
}

void fault_host::submitRouted(const caller_try &Try,
                              const submission_claim &Claim,
                              const outcome_reply &Reply) {
  if (Try.Ticket)
    submit(Try, Reply);
  else
    act(Submissions->offerClaimed(Try.identity(), Claim, local()), Try, Reply);
}

void fault_host::act(const submission_decision &Decision, const caller_try &Try,
                     const outcome_reply &Reply) {
  switch (Decision.Action) {
  case submission_action::Run:
    Waiters[Decision.Key].push_back(Reply);
    run(Try, Decision.Key, {});
    break;
  case submission_action::Join:
    Waiters[Decision.Key].push_back(Reply);
    break;
  case submission_action::CreateClaim:
  case submission_action::ReadClaim:
    Waiters[Decision.Key].push_back(Reply);
    askStore(Decision, Try);
    break;
  case submission_action::RouteTo:
    route(Try, Decision.Claim, Reply);
    break;
  case submission_action::Replay:
  case submission_action::Refuse:
    Reply(Decision.Result.Outcome.Reported);
    break;
  }
}

void fault_host::askStore(const submission_decision &Decision,
                          const caller_try &Try) {
  const daemon_id Asker = Daemon;
  const fault_store::reply Reply = [this, Asker,
                                    Try](const claim_answer &Answer) {
    Network.onDaemon(Asker, 1ms, [this, Try, Answer](fault_host &) {
      claimSettled(Submissions->claimAnswered(Try.identity(), Answer, local()),
                   Try);
    });
  };
  if (Decision.Action == submission_action::CreateClaim)
    Network.store().create(Try.identity(), Decision.Claim, Reply);
  else
    Network.store().read(Try.identity(), Reply);
}

void fault_host::claimSettled(const submission_decision &Decision,
                              const caller_try &Try) {
  switch (Decision.Action) {
  case submission_action::Run:
    run(Try, Decision.Key, {});
    break;
  case submission_action::CreateClaim:
  case submission_action::ReadClaim:
    askStore(Decision, Try);
    break;
  case submission_action::RouteTo:
    for (const outcome_reply &Reply : takeWaiters(Decision.Key))
      route(Try, Decision.Claim, Reply);
    break;
  case submission_action::Refuse:
    tellWaiters(Decision.Key, Decision.Result.Outcome.Reported);
    break;
  case submission_action::Join:
  case submission_action::Replay:
    // Another entry host proved the claim meanwhile; the run tells them.
    break;
  }
}

void fault_host::route(const caller_try &Try, const submission_claim &Claim,
                       const outcome_reply &Reply) {
  auto Open = std::make_shared<bool>(true);
  const outcome_reply Once = [Open, Reply](request_outcome Outcome) {
    if (std::exchange(*Open, false))
      Reply(Outcome);
  };
  const daemon_id Entry = Daemon;
  const outcome_reply Back = [this, Entry, Once](request_outcome Outcome) {
    Network.sendToDaemon(Entry,
                         [Once, Outcome](fault_host &) { Once(Outcome); }, {});
  };
  later(RouteTimeout, [Once] { Once(request_outcome::Unknown); });
  Network.sendToHost(Claim.Executor.Host, [Try, Claim, Back](fault_host &To) {
    To.submitRouted(Try, Claim, Back);
  });
}

std::vector<outcome_reply> fault_host::takeWaiters(const submission_key &Key) {
  std::vector<outcome_reply> Taken;
  if (const auto Found = Waiters.find(Key); Found != Waiters.end()) {
    Taken = std::move(Found->second);
    Waiters.erase(Found);
  }
  return Taken;
}

void fault_host::tellWaiters(const submission_key &Key,
                             request_outcome Outcome) {
  for (const outcome_reply &Reply : takeWaiters(Key))
    Reply(Outcome);
}

// Entry host: one request's state machine, carried out.

void fault_host::run(const caller_try &Try,
                     const std::optional<submission_key> &Key,
                     const outcome_reply &Reply) {
  LastRequest = LastRequest.next();
  ++DeliveryCount;
  RetryTokens = std::min(RetryTokens + Network.options().RetryBudget, 10.0);
  const request_id Id{Daemon, LastRequest};
  request_delivery_options Options;
  Options.Repeatable = !Try.Submission;
  Options.TryRetry = [this] { return takeRetryToken(); };
  auto Delivery = std::make_shared<running_delivery>(
      request_delivery(Id, local() + RequestDeadline, Options), Try);
  Delivery->Key = Key;
  Delivery->Reply = Reply;
  Deliveries.emplace(Id, Delivery);
  execute(Delivery, Delivery->Machine.start(local()));
}

fault_host::delivery_pointer fault_host::find(const attempt_id &Attempt) const {
  const auto Found = Deliveries.find(Attempt.Request);
  return Found == Deliveries.end() ? nullptr : Found->second;
}

void fault_host::execute(const delivery_pointer &Delivery,
                         const delivery_commands &Commands) {
  for (const delivery_command &Command : Commands)
    std::visit([&](const auto &Step) { carryOut(Delivery, Step); }, Command);
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const pick_server &) {
  const bool None = Network.random().chance(0.002);
  const attempt_target Pick{Network.randomHost().id(), backend_server_id("a")};
  later(200us, [this, Delivery, None, Pick] {
    execute(Delivery, None ? Delivery->Machine.noServerAvailable(local())
                           : Delivery->Machine.serverPicked(Pick, local()));
  });
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const forward_request &Command) {
  ++AttemptCount;
  const forwarded_request Forward{Daemon, Command, Delivery->Try.Request};
  const attempt_id Attempt = Command.Offer.Attempt;
  const daemon_id Self = Daemon;
  Network.sendToDaemon(
      Command.To.Owner,
      [Forward](fault_host &Owner) { Owner.forwarded(Forward); },
      [this, Self, Attempt] {
        Network.onDaemon(Self, 0ms, [Attempt](fault_host &Entry) {
          Entry.answerLost(Attempt);
        });
      });
}

void fault_host::carryOut(const delivery_pointer &, const send_fence &Command) {
  const daemon_id Asker = Daemon;
  Network.sendToHost(Command.Owner.Host, [Asker, Command](fault_host &Owner) {
    Owner.fenceAsked(Asker, Command);
  });
}

void fault_host::carryOut(const delivery_pointer &, const cancel_attempt &) {
  // The owner goes on; a cancelled answer must not disturb the request.
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const relay_head &Command) {
  const simulated_answer &Answer = Delivery->Answers.at(Command.Attempt);
  Delivery->Current = Command.Attempt;
  Delivery->Version = Answer.Version;
  Delivery->Wrong = Answer.Truth != Delivery->Try.Request;
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const relay_resumed &Command) {
  const simulated_answer &Answer = Delivery->Answers.at(Command.Attempt);
  Delivery->Current = Command.Attempt;
  Delivery->Wrong = Delivery->Wrong || Answer.Truth != Delivery->Try.Request ||
                    Answer.Version != Delivery->Version ||
                    Answer.Head.RangeStart != Delivery->Received;
}

void fault_host::carryOut(const delivery_pointer &, const discard_answer &) {
  // The state machine has closed the attempt itself.
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const end_answer &Command) {
  const bool Short = !Delivery->Key && Delivery->Received != ResourceLength;
  if (Delivery->Wrong || Short)
    Network.ledger().endedWrongly(Delivery->Try.Request);
  finish(Delivery, Command.Outcome, true);
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const abort_answer &Command) {
  finish(Delivery, Command.Outcome, false);
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const report_outcome &Command) {
  finish(Delivery, Command.Outcome, true);
}

void fault_host::carryOut(const delivery_pointer &Delivery,
                          const wake_at &Command) {
  const std::uint64_t Wake = ++Delivery->Wake;
  const duration Delay = std::max(duration(0), Command.At - local());
  later(Delay, [this, Delivery, Wake] {
    if (Wake == Delivery->Wake)
      execute(Delivery, Delivery->Machine.timer(local()));
  });
}

void fault_host::finish(const delivery_pointer &Delivery,
                        attempt_outcome Outcome, bool Told) {
  Deliveries.erase(Delivery->Machine.id());
  if (Delivery->Key) {
    Submissions->finished(*Delivery->Key, {Outcome, {}, false}, local());
    tellWaiters(*Delivery->Key, Outcome.Reported);
  } else if (Told) {
    Delivery->Reply(Outcome.Reported);
  }
}

void fault_host::headCame(const attempt_id &Attempt,
                          const simulated_answer &Answer) {
  if (const delivery_pointer Delivery = find(Attempt)) {
    Delivery->Answers[Attempt] = Answer;
    execute(Delivery,
            Delivery->Machine.answerHead(Attempt, Answer.Head, local()));
  }
}

void fault_host::dataCame(const attempt_id &Attempt, byte_count Bytes) {
  const delivery_pointer Delivery = find(Attempt);
  if (!Delivery || Delivery->Current != Attempt)
    return;
  Delivery->Received += Bytes;
  execute(Delivery, Delivery->Machine.dataRelayed(Attempt, Bytes, local()));
}

void fault_host::endCame(const attempt_id &Attempt) {
  if (const delivery_pointer Delivery = find(Attempt))
    execute(Delivery, Delivery->Machine.answerEnded(Attempt, local()));
}

void fault_host::answerLost(const attempt_id &Attempt) {
  if (const delivery_pointer Delivery = find(Attempt))
    execute(Delivery, Delivery->Machine.answerLost(Attempt, local()));
}

void fault_host::refusalCame(const attempt_id &Attempt, bool NotRun) {
  if (const delivery_pointer Delivery = find(Attempt))
    execute(Delivery,
            Delivery->Machine.attemptRefused(Attempt, NotRun, local()));
}

void fault_host::fenceReplied(const fence_reply &Reply) {
  if (const delivery_pointer Delivery = find(Reply.Attempt))
    execute(Delivery, Delivery->Machine.fenceReplied(Reply, local()));
}

// Owner.

void fault_host::forwarded(const forwarded_request &Forward) {
  const attempt_acceptance Acceptance =
      Attempts->accept(Forward.Command.Offer, local());
  if (Acceptance.Verdict == attempt_verdict::Duplicate)
    return;
  if (Acceptance.Verdict != attempt_verdict::Accepted) {
    refuse(Forward, Acceptance.NotRun);
    return;
  }
  random_source &Random = Network.random();
  const duration Queued = Random.chance(0.05)
                              ? duration(Random.below(6'000'000'000))
                              : duration(Random.below(20'000'000));
  later(Queued, [this, Forward] {
    if (Attempts->markSent(Forward.Command.Offer.Attempt, local()))
      sendToServer(Forward);
    else
      refuse(Forward, true);
  });
}

void fault_host::sendToServer(const forwarded_request &Forward) {
  random_source &Random = Network.random();
  const fault_options &Options = Network.options();
  const attempt_id &Attempt = Forward.Command.Offer.Attempt;
  if (Random.chance(Options.ConnectFailureChance + Options.ShedChance)) {
    Attempts->markAnswered(Attempt, {request_outcome::NotRun, {}});
    refuse(Forward, true);
    return;
  }
  // The server may run it late, and runs it whether or not the owner lives.
  const duration Work = Random.chance(0.02)
                            ? duration(Random.below(8'000'000'000))
                            : duration(Random.below(60'000'000));
  const bool Silent = Random.chance(Options.SilentServerChance);
  const daemon_id Owner = Daemon;
  Network.queue().after(Work, [this, Owner, Forward, Silent] {
    Network.ledger().ran(Forward.Request);
    if (!Silent)
      Network.onDaemon(Owner, 1ms, [Forward](fault_host &Self) {
        Self.answerFromServer(Forward);
      });
  });
}

void fault_host::answerFromServer(const forwarded_request &Forward) {
  random_source &Random = Network.random();
  const fault_options &Options = Network.options();
  const attempt_id &Attempt = Forward.Command.Offer.Attempt;
  simulated_answer Answer;
  Answer.Truth = Forward.Request;
  Answer.Version = Network.resourceVersion();
  Answer.Head.Request = Attempt.Request;
  Answer.Head.Status = answer_status(200);
  Answer.Head.Tag = entity_tag("\"" + std::to_string(Answer.Version) + "\"");
  if (Random.chance(Options.WrongAnswerChance)) {
    Answer.Truth = caller_request(Forward.Request.value() ^ 1);
    Answer.Head.Request.Sequence = Attempt.Request.Sequence.next();
    Attempts->markAnswered(Attempt, {request_outcome::Unknown, {}});
  } else {
    Attempts->markAnswered(Attempt, RanOkay);
  }
  const auto &Resume = Forward.Command.Resume;
  // A server may ignore the condition of the range, or the range.
  const bool IgnoresCondition = Random.chance(0.2);
  const bool IgnoresRange = Random.chance(0.1);
  if (Resume && !IgnoresRange &&
      (Resume->Tag == Answer.Head.Tag || IgnoresCondition)) {
    Answer.Head.Status = answer_status(206);
    Answer.Head.RangeStart = Resume->First;
  }
  if (Forward.Command.Repeatable) {
    Answer.Head.Total = ResourceLength;
    Answer.Head.Length = ResourceLength - Answer.Head.RangeStart;
  }
  stream(Forward, Answer);
}

// Frames of one stream keep their order; the stream may break or fall silent
// at any of them.
void fault_host::stream(const forwarded_request &Forward,
                        const simulated_answer &Answer) {
  random_source &Random = Network.random();
  const attempt_id Attempt = Forward.Command.Offer.Attempt;
  const daemon_id &Entry = Forward.Entry;
  const std::uint64_t Chunks =
      Forward.Command.Repeatable
          ? Answer.Head.Length->value() / ChunkLength.value()
          : 0;
  const bool Breaks = Random.chance(Network.options().BrokenAnswerChance);
  const std::uint64_t Frames = Breaks ? Random.below(Chunks + 2) : Chunks + 2;
  duration At = 500us + duration(Random.below(4'000'000));
  for (std::uint64_t Frame = 0; Frame < Frames; ++Frame, At += 5ms)
    Network.onDaemon(Entry, At, [=](fault_host &To) {
      if (Frame == 0)
        To.headCame(Attempt, Answer);
      else if (Frame <= Chunks)
        To.dataCame(Attempt, ChunkLength);
      else
        To.endCame(Attempt);
    });
  // The end of a broken answer is seen as a loss, taken for a clean end, or
  // not seen at all.
  const std::uint64_t Seen = Random.below(5);
  if (Breaks && Seen < 4)
    Network.onDaemon(Entry, At, [Attempt, Seen](fault_host &To) {
      if (Seen == 0)
        To.endCame(Attempt);
      else
        To.answerLost(Attempt);
    });
}

void fault_host::refuse(const forwarded_request &Forward, bool NotRun) {
  const attempt_id Attempt = Forward.Command.Offer.Attempt;
  Network.sendToDaemon(Forward.Entry,
                       [Attempt, NotRun](fault_host &Entry) {
                         Entry.refusalCame(Attempt, NotRun);
                       },
                       {});
}

void fault_host::fenceAsked(const daemon_id &Asker, const send_fence &Fence) {
  fence_reply Reply{Fence.Fence.Attempt, fence_verdict::OwnerGone, {}};
  if (Fence.Owner == Daemon)
    Reply = Attempts->fence(Fence.Fence, local());
  Network.sendToDaemon(
      Asker, [Reply](fault_host &Entry) { Entry.fenceReplied(Reply); }, {});
}
