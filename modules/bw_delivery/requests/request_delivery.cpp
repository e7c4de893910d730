#include "bw_delivery/requests/request_delivery.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace bw;

namespace {

constexpr answer_status Ok{200};
constexpr answer_status PartialContent{206};

} // namespace

request_delivery::request_delivery(request_id Id, time_point Deadline,
                                   request_delivery_options Options)
    : Id(std::move(Id)), Deadline(Deadline), Options(std::move(Options)) {}

delivery_commands request_delivery::start(time_point Now) {
  delivery_commands Out;
  if (Now >= Deadline)
    reportFailure(Out, "deadline_passed");
  else
    requestServer(Out);
  return finishStep(std::move(Out), Now);
}

delivery_commands request_delivery::serverPicked(const attempt_target &Pick,
                                                 time_point Now) {
  delivery_commands Out;
  if (Finished || !PickPending)
    return Out;
  PickPending = false;
  if (Now >= Deadline)
    deadlinePassed(Out, Now);
  else
    forward(Out, Pick, Now);
  return finishStep(std::move(Out), Now);
}

delivery_commands request_delivery::noServerAvailable(time_point Now) {
  delivery_commands Out;
  if (Finished || !PickPending)
    return Out;
  PickPending = false;
  if (!Open.empty())
    return finishStep(std::move(Out), Now);
  if (Relayed)
    abort(Out);
  else
    reportFailure(Out, "no_server");
  return Out;
}

delivery_commands request_delivery::answerHead(const attempt_id &Attempt,
                                               const answer_head &Head,
                                               time_point Now) {
  delivery_commands Out;
  if (Finished || findOpen(Attempt) == nullptr)
    return Out;
  if (Head.Request != Id)
    rejectMismatchedHead(Out, Attempt, Head, Now);
  else if (Relayed)
    acceptResumed(Out, Attempt, Head, Now);
  else
    acceptHead(Out, Attempt, Head, Now);
  return finishStep(std::move(Out), Now);
}

void request_delivery::rejectMismatchedHead(delivery_commands &Out,
                                            const attempt_id &Attempt,
                                            const answer_head &Head,
                                            time_point Now) {
  Out.push_back(discard_answer{Attempt, Head.Request});
  handleLostAttempt(Out, Attempt, Now);
}

void request_delivery::acceptHead(delivery_commands &Out,
                                  const attempt_id &Attempt,
                                  const answer_head &Head, time_point Now) {
  PickPending = false;
  cancelOpen(Out, &Attempt);
  findOpen(Attempt)->Phase = attempt_phase::Relaying;
  Relayed = Head;
  if (!Relayed->Total)
    Relayed->Total = Head.Length;
  LastProgress = Now;
  Out.push_back(relay_head{Attempt});
}

void request_delivery::acceptResumed(delivery_commands &Out,
                                     const attempt_id &Attempt,
                                     const answer_head &Head, time_point Now) {
  open_attempt *Resumed = findOpen(Attempt);
  if (Resumed->Phase == attempt_phase::Relaying)
    return;
  if (!continuesTransfer(Head)) {
    abort(Out);
    return;
  }
  Resumed->Phase = attempt_phase::Relaying;
  LastProgress = Now;
  Out.push_back(relay_resumed{Attempt});
}

bool request_delivery::continuesTransfer(const answer_head &Head) const {
  return Head.Status == PartialContent && Head.RangeStart == Received &&
         Head.Tag == Relayed->Tag &&
         (!Head.Total || !Relayed->Total || *Head.Total == *Relayed->Total);
}

delivery_commands request_delivery::dataRelayed(const attempt_id &Attempt,
                                                byte_count Bytes,
                                                time_point Now) {
  delivery_commands Out;
  const open_attempt *Open = findOpen(Attempt);
  if (Finished || Open == nullptr || Open->Phase != attempt_phase::Relaying)
    return Out;
  Received += Bytes;
  LastProgress = Now;
  if (Relayed->Total && Received > *Relayed->Total)
    abort(Out);
  return finishStep(std::move(Out), Now);
}

void request_delivery::transferPaused(bool NowPaused, time_point Now) {
  Paused = NowPaused;
  LastProgress = Now;
}

delivery_commands request_delivery::answerEnded(const attempt_id &Attempt,
                                                time_point Now) {
  delivery_commands Out;
  const open_attempt *Open = findOpen(Attempt);
  if (Finished || Open == nullptr || Open->Phase != attempt_phase::Relaying)
    return Out;
  const bool Complete = !Relayed->Total || Received == *Relayed->Total;
  if (!Complete) {
    handleLostAttempt(Out, Attempt, Now);
    return finishStep(std::move(Out), Now);
  }
  closeAttempt(Attempt);
  Finished = true;
  Out.push_back(end_answer{{request_outcome::Done, Relayed->Status}});
  return Out;
}

delivery_commands request_delivery::answerLost(const attempt_id &Attempt,
                                               time_point Now) {
  delivery_commands Out;
  if (Finished || findOpen(Attempt) == nullptr)
    return Out;
  handleLostAttempt(Out, Attempt, Now);
  return finishStep(std::move(Out), Now);
}

void request_delivery::handleLostAttempt(delivery_commands &Out,
                                         const attempt_id &Attempt,
                                         time_point Now) {
  open_attempt &Lost = *findOpen(Attempt);
  if (Lost.Phase == attempt_phase::Fencing)
    return;
  if (Relayed) {
    closeAttempt(Attempt);
    resumeOrAbort(Out, Now);
    return;
  }
  if (!Options.Repeatable) {
    fence(Out, Lost, Now);
    return;
  }
  MayHaveRun = true;
  Out.push_back(cancel_attempt{Lost.Id, Lost.To.Owner});
  closeAttempt(Attempt);
  retryOrReport(Out, Now, "answer_lost");
}

void request_delivery::resumeOrAbort(delivery_commands &Out, time_point Now) {
  if (Now >= Deadline || !canResume() || !takeRetry()) {
    abort(Out);
    return;
  }
  LastProgress = Now;
  requestServer(Out);
}

bool request_delivery::canResume() const {
  return Options.Repeatable && !CallerDisconnected && Relayed->Status == Ok &&
         isStrong(Relayed->Tag);
}

delivery_commands request_delivery::attemptRefused(const attempt_id &Attempt,
                                                   bool NotRun,
                                                   time_point Now) {
  delivery_commands Out;
  const open_attempt *Refused = findOpen(Attempt);
  if (Finished || Refused == nullptr)
    return Out;
  if (Refused->Phase == attempt_phase::Relaying || !NotRun) {
    handleLostAttempt(Out, Attempt, Now);
    return finishStep(std::move(Out), Now);
  }
  closeAttempt(Attempt);
  if (Relayed)
    resumeOrAbort(Out, Now);
  else
    retryOrReport(Out, Now, "refused");
  return finishStep(std::move(Out), Now);
}

delivery_commands request_delivery::fenceReplied(const fence_reply &Reply,
                                                 time_point Now) {
  delivery_commands Out;
  open_attempt *Fenced = findOpen(Reply.Attempt);
  if (Finished || Fenced == nullptr || Fenced->Phase != attempt_phase::Fencing)
    return Out;
  switch (Reply.Verdict) {
  case fence_verdict::NotRun:
    closeAttempt(Reply.Attempt);
    retryOrReport(Out, Now, "fenced");
    break;
  case fence_verdict::Outcome:
    closeAttempt(Reply.Attempt);
    if (Reply.Outcome.Reported == request_outcome::NotRun) {
      retryOrReport(Out, Now, "refused");
      break;
    }
    reportOutcome(Out, Reply.Outcome.Reported, Reply.Outcome.Status,
                  "answer_lost");
    break;
  case fence_verdict::Running:
    // The answer may still arrive, so the fence is repeated after the longer
    // `FenceAfter`, but at the deadline at the latest. After the deadline only
    // `FenceGrace` is left, so it is repeated after the shorter `FenceRepeat`.
    Fenced->FenceAgainAt = Now < Deadline
                               ? std::min(Now + Options.FenceAfter, Deadline)
                               : Now + Options.FenceRepeat;
    break;
  case fence_verdict::MayHaveRun:
  case fence_verdict::OwnerGone:
    MayHaveRun = true;
    closeAttempt(Reply.Attempt);
    reportFailure(Out, "may_have_run");
    break;
  }
  return finishStep(std::move(Out), Now);
}

delivery_commands request_delivery::timer(time_point Now) {
  delivery_commands Out;
  if (Finished)
    return Out;
  if (Now >= Deadline) {
    deadlinePassed(Out, Now);
    return finishStep(std::move(Out), Now);
  }
  for (open_attempt &Attempt : Open) {
    if (isStalled(Attempt, Now)) {
      Out.push_back(cancel_attempt{Attempt.Id, Attempt.To.Owner});
      handleLostAttempt(Out, attempt_id(Attempt.Id), Now);
      break; // `handleLostAttempt` has modified `Open`.
    }
    if (!Options.Repeatable && Attempt.Phase != attempt_phase::Relaying &&
        Now >= Attempt.FenceAgainAt)
      fence(Out, Attempt, Now);
  }
  if (!Finished && Now >= HedgeAt)
    hedge(Out);
  return finishStep(std::move(Out), Now);
}

bool request_delivery::isStalled(const open_attempt &Attempt,
                                 time_point Now) const {
  const bool InTransfer = Relayed && (Options.Repeatable ||
                                      Attempt.Phase == attempt_phase::Relaying);
  return InTransfer && !Paused && Now - LastProgress >= Options.StallAfter;
}

void request_delivery::hedge(delivery_commands &Out) {
  if (HedgeTried || !Options.Repeatable || Relayed || PickPending ||
      Open.size() != 1)
    return;
  HedgeTried = true;
  if (takeRetry())
    requestServer(Out);
}

void request_delivery::deadlinePassed(delivery_commands &Out, time_point Now) {
  if (Relayed) {
    cancelOpen(Out, nullptr);
    abort(Out);
    return;
  }
  PickPending = false;
  if (!Options.Repeatable && !Open.empty() &&
      Now < Deadline + Options.FenceGrace) {
    open_attempt &Attempt = Open.front();
    if (Attempt.Phase != attempt_phase::Fencing || Now >= Attempt.FenceAgainAt)
      fence(Out, Attempt, Now);
    return;
  }
  MayHaveRun = MayHaveRun || !Open.empty();
  if (Options.Repeatable)
    cancelOpen(Out, nullptr);
  reportFailure(Out, "deadline_passed");
}

delivery_commands request_delivery::callerCancelled(time_point Now) {
  delivery_commands Out;
  if (Finished || CallerDisconnected)
    return Out;
  CallerDisconnected = true;
  if (!Options.Repeatable && !Open.empty()) {
    if (!Relayed && Open.front().Phase == attempt_phase::Waiting)
      fence(Out, Open.front(), Now);
    return finishStep(std::move(Out), Now);
  }
  MayHaveRun = MayHaveRun || !Open.empty();
  cancelOpen(Out, nullptr);
  if (Relayed)
    abort(Out);
  else
    reportFailure(Out, "caller_cancelled");
  return Out;
}

request_delivery::open_attempt *
request_delivery::findOpen(const attempt_id &Attempt) {
  const auto Found = std::find_if(
      Open.begin(), Open.end(),
      [&](const open_attempt &Candidate) { return Candidate.Id == Attempt; });
  return Found == Open.end() ? nullptr : &*Found;
}

void request_delivery::closeAttempt(const attempt_id &Attempt) {
  // Copied, as the argument may refer to an element of `Open`.
  const attempt_id Closed = Attempt;
  std::erase_if(Open, [&](const open_attempt &Candidate) {
    return Candidate.Id == Closed;
  });
}

void request_delivery::cancelOpen(delivery_commands &Out,
                                  const attempt_id *Except) {
  for (const open_attempt &Attempt : Open)
    if (Except == nullptr || Attempt.Id != *Except)
      Out.push_back(cancel_attempt{Attempt.Id, Attempt.To.Owner});
  std::erase_if(Open, [&](const open_attempt &Attempt) {
    return Except == nullptr || Attempt.Id != *Except;
  });
}

void request_delivery::retryOrReport(delivery_commands &Out, time_point Now,
                                     std::string_view Reason) {
  // The other attempt of a hedged request is open or being placed and may
  // still answer.
  if (!Open.empty() || PickPending)
    return;
  if (CallerDisconnected || Now >= Deadline || !takeRetry()) {
    reportFailure(Out, Reason);
    return;
  }
  requestServer(Out);
}

void request_delivery::requestServer(delivery_commands &Out) {
  PickPending = true;
  Out.push_back(pick_server{TriedServers});
}

bool request_delivery::takeRetry() {
  return Attempts < Options.MaxAttempts && Options.TryRetry();
}

void request_delivery::forward(delivery_commands &Out,
                               const attempt_target &Pick, time_point Now) {
  assert(Options.Repeatable || Open.empty());
  ++Attempts;
  forward_request Forward;
  Forward.Offer = {
      {Id, sequence_number(Attempts)}, senderTime(Now), Deadline - Now};
  Forward.To = Pick;
  Forward.Repeatable = Options.Repeatable;
  if (Relayed)
    Forward.Resume = {Received, Relayed->Tag};
  Open.push_back({Forward.Offer.Attempt, Pick, Forward.Offer.deadline(),
                  attempt_phase::Waiting, Now + Options.FenceAfter});
  TriedServers.push_back(Pick.Server);
  HedgeAt = Now + Options.HedgeAfter;
  LastProgress = Now;
  Out.push_back(std::move(Forward));
}

void request_delivery::fence(delivery_commands &Out, open_attempt &Attempt,
                             time_point Now) {
  Attempt.Phase = attempt_phase::Fencing;
  Attempt.FenceAgainAt = Now + Options.FenceRepeat;
  Out.push_back(send_fence{{Attempt.Id, senderTime(Now), Attempt.Deadline},
                           Attempt.To.Owner});
}

void request_delivery::reportOutcome(delivery_commands &Out,
                                     request_outcome Reported,
                                     answer_status Status,
                                     std::string_view Reason) {
  Finished = true;
  Out.push_back(report_outcome{{Reported, Status}, std::string(Reason)});
}

void request_delivery::reportFailure(delivery_commands &Out,
                                     std::string_view Reason) {
  const request_outcome Reported =
      MayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
  reportOutcome(Out, Reported, answer_status(), Reason);
}

void request_delivery::abort(delivery_commands &Out) {
  cancelOpen(Out, nullptr);
  Finished = true;
  Out.push_back(abort_answer{{request_outcome::Done, Relayed->Status}});
}

// Requests a call of `timer` at the earliest time at which one is due.
void request_delivery::scheduleWake(delivery_commands &Out,
                                    time_point Now) const {
  time_point At = Now < Deadline ? Deadline : Deadline + Options.FenceGrace;
  for (const open_attempt &Attempt : Open) {
    if (Relayed && !Paused)
      At = std::min(At, LastProgress + Options.StallAfter);
    else if (!Relayed && !Options.Repeatable)
      At = std::min(At, Attempt.FenceAgainAt);
    else if (!Relayed && !HedgeTried)
      At = std::min(At, HedgeAt);
  }
  Out.push_back(wake_at{At});
}

delivery_commands request_delivery::finishStep(delivery_commands Out,
                                               time_point Now) const {
  if (!Finished)
    scheduleWake(Out, Now);
  return Out;
}
