#include "bw_engine/owner/owner_engine.h"

#include <algorithm>

using namespace bw;

namespace {

// How long this host redirects an instance's requests to the successor after a
// fault in its own network path to the instance.
constexpr std::chrono::seconds YieldPeriod{10};
constexpr std::chrono::seconds TableTickInterval{1};
constexpr std::chrono::milliseconds RefusalRetryDelay{100};
// Number of other owners of a service that receive a digest in one round.
constexpr std::size_t DigestFanout = 2;
// Number of owners from which current digests are requested, and limit on the
// digests in one reply.
constexpr std::size_t DigestRequestFanout = 5;
constexpr std::size_t DigestsPerReply = 3;

std::string reasonText(slot_refusal Reason) {
  switch (Reason) {
  case slot_refusal::NoFreeSlot:
    return "no_free_slot";
  case slot_refusal::QueueFull:
    return "queue_full";
  case slot_refusal::DeadlineTooClose:
    return "deadline_too_close";
  case slot_refusal::DeadlinePassed:
    return "deadline_passed";
  case slot_refusal::Displaced:
    return "displaced";
  case slot_refusal::ServerLeaving:
    return "server_leaving";
  case slot_refusal::ServerEjected:
    return "server_ejected";
  case slot_refusal::OwnershipMoved:
    return "ownership_moved";
  case slot_refusal::HostStopping:
    return "host_stopping";
  }
  return "";
}

attempt_end notRun(std::string Reason,
                   duration RetryAfter = RefusalRetryDelay) {
  attempt_end End;
  End.Kind = attempt_end_kind::NotRun;
  End.Reason = std::move(Reason);
  End.RetryAfter = RetryAfter;
  return End;
}

// The result of an ended call for the detector, the slot and the attempt.
struct call_classification {
  server_outcome Server;
  slot_outcome Slot;
  attempt_end_kind End;
  const char *Reason;
};

call_classification classifyCall(call_end End,
                                 const std::optional<call_head> &Head) {
  constexpr int FirstServerError = 500;
  if (Head && Head->IsNotRun)
    return {server_outcome::Shed, slot_outcome::Shed, attempt_end_kind::NotRun,
            "server_shed"};
  if (Head && !Head->IsMatched)
    return {server_outcome::Failed, slot_outcome::Failed,
            attempt_end_kind::MayHaveRun, "answer_mismatched"};
  switch (End) {
  case call_end::ConnectFailed:
    return {server_outcome::Unreachable, slot_outcome::Failed,
            attempt_end_kind::NotRun, "connect_failed"};
  case call_end::Failed:
    return {server_outcome::Unreachable, slot_outcome::Failed,
            attempt_end_kind::MayHaveRun, "connection_broken"};
  case call_end::TimedOut:
    return {server_outcome::Unreachable, slot_outcome::Failed,
            attempt_end_kind::MayHaveRun, "timed_out"};
  case call_end::Cancelled:
    return {server_outcome::Cancelled, slot_outcome::Failed,
            attempt_end_kind::MayHaveRun, "cancelled"};
  case call_end::Complete:
    break;
  }
  if (!Head)
    return {server_outcome::Failed, slot_outcome::Failed,
            attempt_end_kind::MayHaveRun, "answer_missing"};
  if (Head->Status >= FirstServerError)
    return {server_outcome::Failed, slot_outcome::Answered,
            attempt_end_kind::Complete, ""};
  return {server_outcome::Succeeded, slot_outcome::Answered,
          attempt_end_kind::Complete, ""};
}

} // namespace

owner_engine::owner_engine(fleet_view &Fleet,
                           const owner_engine_options &GivenOptions)
    : Fleet(Fleet), Options(GivenOptions), Random(Options.Seed),
      Attempts(Options.Attempts) {}

void owner_engine::configure(const std::vector<service_settings> &NewSettings) {
  for (const service_settings &Settings : NewSettings) {
    auto &Known = Services[Settings.Name];
    if (Known)
      *Known = Settings;
    else
      Known = std::make_unique<service_settings>(Settings);
  }
}

owned_instance *owner_engine::find(const backend_server_id &Server) {
  const auto Found = Instances.find(Server);
  return Found == Instances.end() ? nullptr : Found->second.get();
}

const owned_instance *
owner_engine::find(const backend_server_id &Server) const {
  const auto Found = Instances.find(Server);
  return Found == Instances.end() ? nullptr : Found->second.get();
}

owned_instance *owner_engine::findOrCreateInstance(const forward_offer &Forward,
                                                   time_point Now) {
  if (owned_instance *Known = find(Forward.Server))
    return Known;
  const listed_server *Server = Fleet.servers().find(Forward.Server);
  const auto Settings = Services.find(Forward.Service);
  if (Server == nullptr || Settings == Services.end())
    return nullptr;
  auto Created =
      std::make_unique<owned_instance>(*Server, *Settings->second, Now);
  return (Instances[Forward.Server] = std::move(Created)).get();
}

// Refusals because the instance is leaving or belongs to another host. The
// attempt has not run here, and its entry in the attempt table refuses copies
// that arrive later.
std::optional<attempt_end>
owner_engine::refusalFor(const forward_offer &Forward, time_point Now) {
  if (!Fleet.servers().acceptsRequests(Forward.Server))
    return notRun("server_leaving");
  const ownership Owners = Fleet.owners().find(Forward.Server);
  const auto Yielded = YieldedUntil.find(Forward.Server);
  const bool HasYielded =
      Yielded != YieldedUntil.end() && Now < Yielded->second;
  const bool IsOwner = Owners.Owner == Fleet.self().Host && !HasYielded;
  const bool IsSuccessor = Owners.Successor == Fleet.self().Host;
  if (IsOwner || IsSuccessor)
    return std::nullopt;
  attempt_end End = notRun("not_owner");
  End.Kind = attempt_end_kind::NotOwner;
  End.RedirectTo = HasYielded ? Owners.Successor : Owners.Owner;
  return End;
}

owner_commands owner_engine::offer(const forward_offer &Forward,
                                   time_point Now) {
  owner_commands Out;
  const attempt_id &Attempt = Forward.Offer.Attempt;
  const attempt_acceptance Accepted = Attempts.accept(Forward.Offer, Now);
  switch (Accepted.Verdict) {
  case attempt_verdict::Accepted:
    accept(Forward, Accepted, Now, Out);
    break;
  case attempt_verdict::Duplicate:
    // The first copy gets its answer on its own stream.
    if (!Accepted.Outcome)
      break;
    Out.push_back(end_attempt{
        Attempt,
        makeAttemptEnd(Attempt,
                       Accepted.Outcome->Reported == request_outcome::NotRun
                           ? attempt_end_kind::NotRun
                           : attempt_end_kind::MayHaveRun,
                       Now)});
    break;
  case attempt_verdict::Fenced:
  case attempt_verdict::PastDeadline:
  case attempt_verdict::Full: {
    attempt_end End = notRun("attempt_refused");
    if (!Accepted.NotRun)
      End.Kind = attempt_end_kind::MayHaveRun;
    Out.push_back(end_attempt{Attempt, std::move(End)});
    break;
  }
  }
  return Out;
}

void owner_engine::accept(const forward_offer &Forward,
                          const attempt_acceptance &Accepted, time_point Now,
                          owner_commands &Out) {
  const attempt_id &Attempt = Forward.Offer.Attempt;
  if (auto Refusal = refusalFor(Forward, Now)) {
    refuse(Attempt, std::move(*Refusal), Out);
    return;
  }
  owned_instance *Instance = findOrCreateInstance(Forward, Now);
  if (Instance == nullptr) {
    refuse(Attempt, notRun("service_unknown"), Out);
    return;
  }
  const kind_index Kind = Instance->settings().kindIndex(Forward.Kind);
  const instance_offer Offer{.Attempt = Attempt,
                             .Caller = Forward.Caller,
                             .Kind = Kind,
                             .Repeatable = Forward.Repeatable,
                             .Long = Forward.Long,
                             .DespiteEjection = Forward.DespiteEjection,
                             .MayWait = Forward.MayWait,
                             .Deadline = Accepted.Deadline};
  if (const auto Ejected = Instance->ejection(Offer, Now)) {
    attempt_end End = notRun("server_ejected", Ejected->RetryAfter);
    End.Score = Ejected->Score;
    refuse(Attempt, std::move(End), Out);
    return;
  }
  Calls[Attempt] = {.Server = Forward.Server,
                    .Kind = Forward.Kind,
                    .KindIndex = Kind,
                    .Repeatable = Forward.Repeatable,
                    .Deadline = Accepted.Deadline};
  apply(Instance->offer(Offer, Now), Now, Out);
}

void owner_engine::refuse(const attempt_id &Attempt, attempt_end End,
                          owner_commands &Out) {
  Attempts.markRefused(Attempt);
  Out.push_back(end_attempt{Attempt, std::move(End)});
}

void owner_engine::apply(const slot_decisions &Decisions, time_point Now,
                         owner_commands &Out) {
  for (const slot_decision &Decision : Decisions) {
    if (Decision.Type == slot_decision_type::Admitted)
      startCall(Decision.Attempt, Now, Out);
    else if (Decision.Type == slot_decision_type::Refused)
      refuseWaiting(Decision, Now, Out);
  }
}

void owner_engine::startCall(const attempt_id &Attempt, time_point Now,
                             owner_commands &Out) {
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end())
    return;
  attempt_record &Record = Found->second;
  owned_instance &Instance = *find(Record.Server);
  if (!Attempts.markSent(Attempt, Now)) {
    // The attempt was fenced or its deadline passed while it was queued.
    end(Attempt, notRun("attempt_refused"), Out);
    Calls.erase(Found);
    apply(Instance.finished(Attempt, slot_outcome::Failed, Now), Now, Out);
    return;
  }
  Record.IsSent = true;
  Record.SentAt = Now;
  Instance.started(Attempt, Now);
  Out.push_back(
      start_call{.Attempt = Attempt,
                 .Server = Record.Server,
                 .Address = Instance.server().Address,
                 .NeedsFreshConnection =
                     !Record.Repeatable || Instance.needsFreshConnection(Now),
                 .Timeout = Record.Deadline - Now});
}

void owner_engine::refuseWaiting(const slot_decision &Decision, time_point Now,
                                 owner_commands &Out) {
  attempt_end End =
      makeAttemptEnd(Decision.Attempt, attempt_end_kind::NotRun, Now);
  End.Reason = reasonText(Decision.Reason);
  End.RetryAfter =
      std::max<duration>(Decision.EstimatedWait, RefusalRetryDelay);
  Attempts.markRefused(Decision.Attempt);
  end(Decision.Attempt, std::move(End), Out);
  Calls.erase(Decision.Attempt);
}

void owner_engine::end(const attempt_id &Attempt, attempt_end End,
                       owner_commands &Out) {
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end() || Found->second.IsEnded)
    return;
  Found->second.IsEnded = true;
  Out.push_back(end_attempt{Attempt, std::move(End)});
}

attempt_end owner_engine::makeAttemptEnd(const attempt_id &Attempt,
                                         attempt_end_kind Kind,
                                         time_point Now) const {
  attempt_end End;
  End.Kind = Kind;
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end())
    return End;
  const attempt_record &Record = Found->second;
  const owned_instance *Instance = find(Record.Server);
  if (Instance == nullptr)
    return End;
  End.FreeSlots = Instance->freeSlots();
  End.Score = Instance->reportedScore(Record.KindIndex);
  End.RetryAfter = Instance->retryAfter(Record.KindIndex, Now);
  if (Record.IsSent)
    End.ServerLatency = Now - Record.SentAt;
  return End;
}

fence_reply owner_engine::fence(const fence_request &Fence, time_point Now) {
  return Attempts.fence(Fence, Now);
}

owner_commands owner_engine::cancel(const attempt_id &Attempt) {
  owner_commands Out;
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end())
    return Out;
  if (Found->second.IsSent) {
    Out.push_back(cancel_call{Attempt});
    return Out;
  }
  owned_instance &Instance = *find(Found->second.Server);
  if (Instance.cancel(Attempt) == cancel_result::Removed) {
    Attempts.markRefused(Attempt);
    end(Attempt, notRun("cancelled"), Out);
    Calls.erase(Attempt);
  }
  return Out;
}

bool owner_engine::headReceived(const attempt_id &Attempt,
                                const call_head &Head, time_point Now,
                                owner_commands &Out) {
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end())
    return false;
  if (Head.IsDraining)
    drainSeen(Found->second, Now, Out);
  const bool MayPass = Head.IsMatched && !Head.IsNotRun;
  if (MayPass) {
    // The time to the end of the answer also depends on the caller's read rate,
    // so only the time to the head counts for the backend server.
    const call_classification Result = classifyCall(call_end::Complete, Head);
    reportOutcome(Attempt, Found->second, Result.Server, Now, Out);
  }
  return MayPass;
}

owner_commands owner_engine::callEnded(const attempt_id &Attempt, call_end End,
                                       const std::optional<call_head> &Head,
                                       time_point Now) {
  owner_commands Out;
  const auto Found = Calls.find(Attempt);
  if (Found == Calls.end())
    return Out;
  const attempt_record Record = Found->second;
  const call_classification Result = classifyCall(End, Head);
  if (Head && Head->IsDraining)
    drainSeen(Record, Now, Out);
  reportOutcome(Attempt, Record, Result.Server, Now, Out);
  attempt_end Message = makeAttemptEnd(Attempt, Result.End, Now);
  Message.Reason = Result.Reason;
  attempt_outcome Outcome;
  if (Result.End == attempt_end_kind::Complete)
    Outcome = {request_outcome::Done,
               answer_status(static_cast<std::uint16_t>(Head->Status))};
  else if (Result.End == attempt_end_kind::NotRun)
    Outcome.Reported = request_outcome::NotRun;
  Attempts.markAnswered(Attempt, Outcome);
  end(Attempt, std::move(Message), Out);
  Calls.erase(Attempt);
  if (owned_instance *Instance = find(Record.Server))
    apply(Instance->finished(Attempt, Result.Slot, Now), Now, Out);
  return Out;
}

void owner_engine::reportOutcome(const attempt_id &Attempt,
                                 const attempt_record &Record,
                                 server_outcome Outcome, time_point Now,
                                 owner_commands &Out) {
  owned_instance *Instance = find(Record.Server);
  if (Instance != nullptr)
    apply(*Instance, Instance->recordOutcome(Attempt, Outcome, Now), Now, Out);
}

const request_kind &owner_engine::kindName(const owned_instance &Instance,
                                           kind_index Kind) const {
  static const request_kind Unknown;
  const auto &Kinds = Instance.settings().Kinds;
  return Kind.value() < Kinds.size() ? Kinds[Kind.value()] : Unknown;
}

void owner_engine::apply(owned_instance &Instance,
                         const detection_events &Events, time_point Now,
                         owner_commands &Out) {
  for (const detection_event &Event : Events) {
    switch (Event.Type) {
    case detection_event_type::ConnectionSuspected:
      Instance.replaceConnections(Now);
      break;
    case detection_event_type::ReferenceRequested:
      requestReference(Instance, Now, Out);
      break;
    case detection_event_type::PathCheckRequested:
      requestPathCheck(Instance, Event.Kind, Now, Out);
      break;
    case detection_event_type::PathFault:
      YieldedUntil[Instance.server().Server] = Now + YieldPeriod;
      break;
    case detection_event_type::Ejected:
    case detection_event_type::Returned:
      Instance.recordEjection(Event);
      Out.push_back(log_detection{Instance.server().Server,
                                  kindName(Instance, Event.Kind), Event});
      break;
    case detection_event_type::TrialRequested:
      // No command is needed: entry hosts retry when the ejection ends.
      break;
    }
  }
}

void owner_engine::requestPathCheck(owned_instance &Instance, kind_index Kind,
                                    time_point Now, owner_commands &Out) {
  if (Instance.isPathVerified(Kind)) {
    apply(Instance,
          Instance.pathChecked(Kind, path_report{.Good = 0, .Bad = 1}, Now),
          Now, Out);
    return;
  }
  const backend_server_id &Server = Instance.server().Server;
  const host_id Successor = Fleet.owners().find(Server).Successor;
  if (!Successor.empty() && Successor != Fleet.self().Host) {
    Out.push_back(
        check_path{Server, kindName(Instance, Kind), Successor,
                   Instance.reference().limit(Kind, evidence_class::High)});
    return;
  }
  apply(Instance, Instance.pathChecked(Kind, path_report{}, Now), Now, Out);
}

owner_commands owner_engine::pathChecked(const backend_server_id &Server,
                                         const request_kind &Kind,
                                         const path_report &Report,
                                         time_point Now) {
  owner_commands Out;
  if (owned_instance *Instance = find(Server))
    apply(*Instance,
          Instance->pathChecked(Instance->settings().kindIndex(Kind), Report,
                                Now),
          Now, Out);
  return Out;
}

void owner_engine::digestReceived(const service_id &Service,
                                  const latency_digest &Digest,
                                  time_point Now) {
  for (const auto &[Name, Instance] : Instances)
    if (Instance->settings().Name == Service)
      Instance->reference().merge(Now, Digest);
}

void owner_engine::drainSeen(const attempt_record &Record, time_point Now,
                             owner_commands &Out) {
  const listed_server *Server = Fleet.servers().find(Record.Server);
  if (Server == nullptr || !Fleet.servers().acceptsRequests(Record.Server))
    return;
  const drain_sign Sign{Server->Server, Server->Address, Server->Start};
  const std::vector<server_event> Events = Fleet.drainSeen(Sign, Now);
  Out.push_back(report_drain{Sign});
  owner_commands More = serversChanged(Events, Now);
  std::move(More.begin(), More.end(), std::back_inserter(Out));
}

owner_commands
owner_engine::serversChanged(const std::vector<server_event> &Events,
                             time_point Now) {
  owner_commands Out;
  for (const server_event &Event : Events) {
    owned_instance *Instance = find(Event.Server.Server);
    if (Instance == nullptr)
      continue;
    const bool IsGone = Event.Change == server_change::Leaving ||
                        Event.Change == server_change::Removed;
    if (IsGone) {
      apply(Instance->close(slot_refusal::ServerLeaving), Now, Out);
      continue;
    }
    // A restarted server has no history. Requests that are still in flight end
    // on their own.
    if (Instance->inFlight() == 0)
      Instances.erase(Event.Server.Server);
    else
      Instance->open();
  }
  return Out;
}

owner_commands owner_engine::tick(time_point Now) {
  owner_commands Out;
  if (Now >= NextDetection) {
    NextDetection = Now + Options.DetectorInterval;
    for (const auto &[Name, Instance] : Instances) {
      apply(Instance->expire(Now), Now, Out);
      if (Instance->inFlight() > 0 || Instance->anyEjected())
        apply(*Instance, Instance->tick(Now), Now, Out);
    }
  }
  if (Now >= NextDigest) {
    NextDigest = Now + Options.DigestInterval;
    sendDigests(Now, Out);
  }
  if (Now >= NextTableTick) {
    NextTableTick = Now + TableTickInterval;
    Attempts.tick(Now);
  }
  return Out;
}

void owner_engine::requestReference(owned_instance &Instance, time_point Now,
                                    owner_commands &Out) {
  const service_id &Service = Instance.settings().Name;
  for (const auto &[Name, Other] : Instances)
    if (Other.get() != &Instance && Other->settings().Name == Service)
      Instance.reference().merge(Now, Other->reference().digest(Now));
  std::vector<host_id> Others = Fleet.otherOwners(Service);
  for (std::size_t Count = 0; Count < DigestRequestFanout && !Others.empty();
       ++Count) {
    const auto Chosen = Others.begin() + static_cast<std::ptrdiff_t>(
                                             Random.below(Others.size()));
    Out.push_back(ask_digests{*Chosen, Service});
    Others.erase(Chosen);
  }
}

owner_commands owner_engine::digestsRequested(const service_id &Service,
                                              const host_id &From,
                                              time_point Now) {
  owner_commands Out;
  for (const auto &[Name, Instance] : Instances)
    if (Instance->settings().Name == Service && Out.size() < DigestsPerReply)
      Out.push_back(
          send_digest{From, Service, Instance->reference().digest(Now)});
  return Out;
}

void owner_engine::sendDigests(time_point Now, owner_commands &Out) {
  for (const auto &[Name, Instance] : Instances) {
    const service_id &Service = Instance->settings().Name;
    const latency_digest Digest = Instance->reference().digest(Now);
    // Merge into the other instances of the service on this host directly.
    digestReceived(Service, Digest, Now);
    std::vector<host_id> Others = Fleet.otherOwners(Service);
    for (std::size_t Count = 0; Count < DigestFanout && !Others.empty();
         ++Count) {
      const auto Chosen = Others.begin() + static_cast<std::ptrdiff_t>(
                                               Random.below(Others.size()));
      Out.push_back(send_digest{*Chosen, Service, Digest});
      Others.erase(Chosen);
    }
  }
}

std::vector<backend_server_id> owner_engine::ejected() const {
  std::vector<backend_server_id> Result;
  for (const auto &[Name, Instance] : Instances)
    if (Instance->anyEjected())
      Result.push_back(Name);
  return Result;
}
