#include "bw_engine/entry/entry_engine.h"

#include <algorithm>

using namespace bw;

namespace {

// Interval between checks for expired exclusions.
constexpr std::chrono::milliseconds ExpiryInterval{100};
constexpr answer_status FirstServerError{500};

} // namespace

entry_engine::entry_engine(fleet_view &Fleet,
                           const entry_engine_options &GivenOptions)
    : Fleet(Fleet), Options(GivenOptions), Random(Options.Seed),
      Retries(Options.Retries), Hedges(Retries, Options.Hedges) {}

void entry_engine::configure(std::vector<service_settings> NewSettings) {
  Services.clear();
  for (service_settings &Settings : NewSettings) {
    const service_id Name = Settings.Name;
    Services.emplace(Name, std::move(Settings));
  }
}

const service_settings *
entry_engine::findSettings(const service_id &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

entry_engine::request_record *entry_engine::find(const request_id &Request) {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

entry_commands entry_engine::begin(const entry_request &Request,
                                   time_point Now) {
  Retries.requestStarted();
  request_delivery_options Delivery;
  Delivery.Repeatable = Request.Repeatable;
  Delivery.MaxAttempts = Options.MaxAttempts;
  Delivery.TryRetry = [this] { return BypassRetryBudget || Retries.tryTake(); };
  const auto HedgeAt = Hedges.hedgeAt({.Service = Request.Service,
                                       .Kind = Request.Kind,
                                       .Repeatable = Request.Repeatable,
                                       .Long = Request.Long,
                                       .Started = Now,
                                       .Deadline = Request.Deadline});
  // Without a hedge time, hedging is disabled until the deadline.
  Delivery.HedgeAfter = HedgeAt ? *HedgeAt - Now : Request.Deadline - Now;
  const auto [Entry, IsNew] = Requests.try_emplace(
      Request.Id, request_record{Request,
                                 request_delivery(Request.Id, Request.Deadline,
                                                  std::move(Delivery)),
                                 {},
                                 {},
                                 {},
                                 std::nullopt});
  if (!IsNew)
    return {};
  request_record &Record = Entry->second;
  return runAndRelease(Record, Record.Delivery.start(Now), Now);
}

// Executes the commands and erases the record if the request is finished.
entry_commands entry_engine::runAndRelease(request_record &Record,
                                           delivery_commands Commands,
                                           time_point Now) {
  entry_commands Out;
  run(Record, std::move(Commands), Now, Out);
  if (Record.Delivery.finished()) {
    setTimer(Record, std::nullopt);
    Requests.erase(Record.Request.Id);
  }
  return Out;
}

void entry_engine::run(request_record &Record, delivery_commands Commands,
                       time_point Now, entry_commands &Out) {
  for (delivery_command &Command : Commands) {
    if (const auto *Pick = std::get_if<pick_server>(&Command))
      run(Record, pickServer(Record, *Pick, Now), Now, Out);
    else if (const auto *Forward = std::get_if<forward_request>(&Command))
      forward(Record, *Forward, Now, Out);
    else if (const auto *Wake = std::get_if<wake_at>(&Command))
      setTimer(Record, Wake->At);
    else
      Out.push_back({Record.Request.Id, std::move(Command)});
  }
}

delivery_commands entry_engine::pickServer(request_record &Record,
                                           const pick_server &Pick,
                                           time_point Now) {
  std::vector<backend_server_id> Avoid = Pick.Avoid;
  std::erase_if(Avoid, [&](const backend_server_id &Server) {
    return std::find(Record.FullInstances.begin(), Record.FullInstances.end(),
                     Server) != Record.FullInstances.end();
  });
  const pick_result Result =
      Fleet.picker().pick({.Service = Record.Request.Service,
                           .Kind = Record.Request.Kind,
                           .TriedInstances = Avoid,
                           .TriedHosts = Record.TriedHosts,
                           .OffersWithoutSlot = static_cast<std::uint32_t>(
                               Record.FullInstances.size())},
                          Now, Random);
  const auto *Chosen = std::get_if<server_pick>(&Result);
  const auto Owner =
      Chosen != nullptr ? Fleet.daemonOf(Chosen->Target) : std::nullopt;
  if (!Owner)
    return Record.Delivery.noServerAvailable(Now);
  LastPick = *Chosen;
  return Record.Delivery.serverPicked({*Owner, Chosen->Instance}, Now);
}

void entry_engine::forward(request_record &Record,
                           const forward_request &Forward, time_point Now,
                           entry_commands &Out) {
  Record.Attempts[Forward.Offer.Attempt] = {*LastPick, Now, false};
  forward_attempt Command{Record.Request, Forward, false};
  Command.MayWait = LastPick->MayWait;
  Command.DespiteEjection = Exclusions.isEjected(
      Record.Request.Service, Record.Request.Kind, LastPick->Instance);
  Out.push_back({Record.Request.Id, std::move(Command)});
}

void entry_engine::setTimer(request_record &Record,
                            std::optional<time_point> At) {
  if (Record.WakeAt == At)
    return;
  if (Record.WakeAt) {
    const auto [First, Last] = Timers.equal_range(*Record.WakeAt);
    const auto Old = std::find_if(First, Last, [&](const auto &Timer) {
      return Timer.second == Record.Request.Id;
    });
    if (Old != Last)
      Timers.erase(Old);
  }
  Record.WakeAt = At;
  if (At)
    Timers.emplace(*At, Record.Request.Id);
}

entry_commands entry_engine::answerHead(const attempt_id &Attempt,
                                        const answer_head &Head,
                                        time_point Now) {
  request_record *Record = find(Attempt.Request);
  if (Record == nullptr)
    return {};
  // Retry a server error on another instance. The second answer is relayed
  // unchanged, and so is the first one if the budget permits no retry.
  const bool IsWorthRetrying =
      Record->Request.Repeatable && Head.Status >= FirstServerError &&
      Record->Delivery.attempts() < 2 && Retries.tokens() >= 1;
  if (IsWorthRetrying)
    return runAndRelease(*Record, Record->Delivery.answerLost(Attempt, Now),
                         Now);
  return runAndRelease(*Record, Record->Delivery.answerHead(Attempt, Head, Now),
                       Now);
}

entry_commands entry_engine::dataRelayed(const attempt_id &Attempt,
                                         byte_count Bytes, time_point Now) {
  request_record *Record = find(Attempt.Request);
  if (Record == nullptr)
    return {};
  return runAndRelease(*Record,
                       Record->Delivery.dataRelayed(Attempt, Bytes, Now), Now);
}

void entry_engine::transferPaused(const request_id &Request, bool IsPaused,
                                  time_point Now) {
  if (request_record *Record = find(Request))
    Record->Delivery.transferPaused(IsPaused, Now);
}

entry_commands entry_engine::answerEnded(const attempt_id &Attempt,
                                         const attempt_end &End,
                                         time_point Now) {
  request_record *Record = find(Attempt.Request);
  if (Record == nullptr)
    return {};
  const bool IsOwnerRefusal =
      End.Kind == attempt_end_kind::NotOwner || End.Reason == "host_stopping";
  reportForward(*Record, Attempt,
                IsOwnerRefusal ? owner_outcome::Refused
                               : owner_outcome::Answered,
                &End, Now);
  if (End.Reason == "no_free_slot")
    return offerToOtherInstance(*Record, Attempt, Now);
  switch (End.Kind) {
  case attempt_end_kind::Complete:
    return runAndRelease(*Record, Record->Delivery.answerEnded(Attempt, Now),
                         Now);
  case attempt_end_kind::NotRun:
  case attempt_end_kind::NotOwner:
    return runAndRelease(
        *Record, Record->Delivery.attemptRefused(Attempt, true, Now), Now);
  case attempt_end_kind::MayHaveRun:
    return runAndRelease(*Record, Record->Delivery.answerLost(Attempt, Now),
                         Now);
  }
  return {};
}

// The attempt was not run and the owner is healthy, so the next offer does not
// count against the retry budget.
entry_commands entry_engine::offerToOtherInstance(request_record &Record,
                                                  const attempt_id &Attempt,
                                                  time_point Now) {
  const auto Known = Record.Attempts.find(Attempt);
  if (Known != Record.Attempts.end())
    Record.FullInstances.push_back(Known->second.Pick.Instance);
  BypassRetryBudget = true;
  delivery_commands Commands =
      Record.Delivery.attemptRefused(Attempt, true, Now);
  BypassRetryBudget = false;
  return runAndRelease(Record, std::move(Commands), Now);
}

entry_commands entry_engine::forwardLost(const attempt_id &Attempt,
                                         forward_loss Loss, time_point Now) {
  request_record *Record = find(Attempt.Request);
  if (Record == nullptr)
    return {};
  reportForward(*Record, Attempt,
                Loss == forward_loss::Silent ? owner_outcome::TimedOut
                                             : owner_outcome::Failed,
                nullptr, Now);
  const auto Known = Record->Attempts.find(Attempt);
  if (Known != Record->Attempts.end())
    Record->TriedHosts.push_back(Known->second.Pick.Target);
  if (Loss == forward_loss::NotDelivered)
    return runAndRelease(
        *Record, Record->Delivery.attemptRefused(Attempt, true, Now), Now);
  return runAndRelease(*Record, Record->Delivery.answerLost(Attempt, Now), Now);
}

void entry_engine::reportForward(request_record &Record,
                                 const attempt_id &Attempt,
                                 owner_outcome Outcome, const attempt_end *End,
                                 time_point Now) {
  const auto Known = Record.Attempts.find(Attempt);
  if (Known == Record.Attempts.end() || Known->second.IsReported)
    return;
  Known->second.IsReported = true;
  const server_pick &Pick = Known->second.Pick;
  forward_result Result{.Instance = Pick.Instance,
                        .Target = Pick.Target,
                        .Outcome = Outcome,
                        .Started = Known->second.Started};
  if (End != nullptr) {
    const duration Elapsed = Now - Known->second.Started;
    Result.Overhead = std::max(duration(0), Elapsed - End->ServerLatency);
    Result.FreeSlots = End->FreeSlots;
    Result.Score = End->Score;
    recordEjection(Record, Pick, *End, Now);
    if (End->Kind == attempt_end_kind::Complete && !Record.Request.Long)
      Hedges.record(Record.Request.Service, Record.Request.Kind, Elapsed);
  }
  Fleet.picker().finished(Result, Now);
  const bool IsRedirect =
      End != nullptr && End->Kind == attempt_end_kind::NotOwner;
  if (IsRedirect && !End->RedirectTo.empty())
    Fleet.picker().notOwner(Pick.Instance, Pick.Target, End->RedirectTo, Now);
}

void entry_engine::recordEjection(const request_record &Record,
                                  const server_pick &Pick,
                                  const attempt_end &End, time_point Now) {
  const bool MayHaveChanged =
      Exclusions.report(Record.Request.Service, Record.Request.Kind,
                        Pick.Instance, End.Score, Now + End.RetryAfter);
  if (MayHaveChanged)
    applyExclusions(Record.Request.Service, Record.Request.Kind);
}

void entry_engine::applyExclusions(const service_id &Service,
                                   const request_kind &Kind) {
  const service_settings *Settings = findSettings(Service);
  const ratio Floor = Settings != nullptr ? Settings->Floor : ratio(1);
  Fleet.picker().setExcluded(
      Service, Kind,
      Exclusions.excluded(Service, Kind, Floor,
                          Fleet.servers().listed(Service)));
}

entry_commands entry_engine::fenceReplied(const fence_reply &Reply,
                                          time_point Now) {
  request_record *Record = find(Reply.Attempt.Request);
  if (Record == nullptr)
    return {};
  return runAndRelease(*Record, Record->Delivery.fenceReplied(Reply, Now), Now);
}

entry_commands entry_engine::callerCancelled(const request_id &Request,
                                             time_point Now) {
  request_record *Record = find(Request);
  if (Record == nullptr)
    return {};
  return runAndRelease(*Record, Record->Delivery.callerCancelled(Now), Now);
}

entry_commands entry_engine::tick(time_point Now) {
  entry_commands Out;
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const request_id Request = Timers.begin()->second;
    Timers.erase(Timers.begin());
    request_record *Record = find(Request);
    if (Record == nullptr)
      continue;
    Record->WakeAt.reset();
    entry_commands Step =
        runAndRelease(*Record, Record->Delivery.timer(Now), Now);
    std::move(Step.begin(), Step.end(), std::back_inserter(Out));
  }
  if (Now >= NextExpiry) {
    NextExpiry = Now + ExpiryInterval;
    for (const auto &[Service, Kind] : Exclusions.expire(Now))
      applyExclusions(Service, Kind);
  }
  return Out;
}

std::optional<time_point> entry_engine::nextTick() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first;
}
