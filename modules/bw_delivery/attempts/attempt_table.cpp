#include "bw_delivery/attempts/attempt_table.h"

#include <algorithm>
#include <utility>

using namespace bw;

attempt_table::attempt_table(attempt_table_options Options)
    : Options(Options) {}

bool attempt_table::isClosed(const entry &Entry) {
  return Entry.State == attempt_state::Answered ||
         Entry.State == attempt_state::Fenced;
}

attempt_acceptance attempt_table::accept(const attempt_offer &Offer,
                                         time_point Now) {
  executor_record *Record =
      recordSenderTime(Offer.Attempt.Request.Entry, Offer.Issued, Now);
  if (Record == nullptr)
    return {};
  const duration ExtraDelay = Record->Delay.observe(Offer.Issued, Now);
  if (auto Known = Entries.find(Offer.Attempt); Known != Entries.end())
    return duplicateAcceptance(Known->second);
  if (Offer.deadline() <= Record->EvictedThrough)
    return {attempt_verdict::PastDeadline};
  if (Offer.deadline() <= Record->LatestSenderTime)
    return {attempt_verdict::PastDeadline, true};
  if (ExtraDelay >= Offer.Remaining)
    return refuse(*Record, Offer, attempt_verdict::PastDeadline);
  const time_point Deadline = Now + Offer.Remaining - ExtraDelay;
  entry Added{attempt_state::Queued, {}, Offer.deadline(), Deadline};
  if (!insert(*Record, Offer.Attempt, Added))
    return {};
  return {attempt_verdict::Accepted, false, Deadline};
}

attempt_acceptance
attempt_table::duplicateAcceptance(const entry &Known) const {
  if (Known.State == attempt_state::Fenced)
    return {attempt_verdict::Fenced, true};
  attempt_acceptance Answer{attempt_verdict::Duplicate};
  if (Known.State == attempt_state::Answered)
    Answer.Outcome = Known.Outcome;
  return Answer;
}

// The delay is an estimate, and a later copy of the attempt might pass the
// check. The refusal is therefore recorded before it is reported as final.
attempt_acceptance attempt_table::refuse(executor_record &Record,
                                         const attempt_offer &Offer,
                                         attempt_verdict Verdict) {
  entry Tombstone{attempt_state::Fenced, {}, Offer.deadline()};
  const bool Recorded = insert(Record, Offer.Attempt, Tombstone);
  return {Verdict, Recorded};
}

bool attempt_table::markSent(const attempt_id &Attempt, time_point Now) {
  const auto Found = Entries.find(Attempt);
  if (Found == Entries.end() || Found->second.State != attempt_state::Queued)
    return false;
  entry &Entry = Found->second;
  const bool InTime = Now < Entry.Deadline;
  Entry.State = InTime ? attempt_state::Sent : attempt_state::Fenced;
  return InTime;
}

void attempt_table::markRefused(const attempt_id &Attempt) {
  const auto Found = Entries.find(Attempt);
  if (Found != Entries.end() && Found->second.State == attempt_state::Queued)
    Found->second.State = attempt_state::Fenced;
}

void attempt_table::markAnswered(const attempt_id &Attempt,
                                 attempt_outcome Outcome) {
  const auto Found = Entries.find(Attempt);
  if (Found == Entries.end() || Found->second.State != attempt_state::Sent)
    return;
  Found->second.State = attempt_state::Answered;
  Found->second.Outcome = Outcome;
}

fence_reply attempt_table::fence(const fence_request &Request, time_point Now) {
  fence_reply Undetermined{Request.Attempt, fence_verdict::MayHaveRun, {}};
  executor_record *Record =
      recordSenderTime(Request.Attempt.Request.Entry, Request.Issued, Now);
  if (Record == nullptr)
    return Undetermined;
  const auto Found = Entries.find(Request.Attempt);
  if (Found == Entries.end()) {
    // The attempt may have run and its record may have been dropped since.
    if (Request.Deadline <= Record->EvictedThrough)
      return Undetermined;
    entry Tombstone{attempt_state::Fenced, {}, Request.Deadline};
    if (!insert(*Record, Request.Attempt, Tombstone))
      return Undetermined;
    return {Request.Attempt, fence_verdict::NotRun, {}};
  }
  entry &Entry = Found->second;
  switch (Entry.State) {
  case attempt_state::Queued:
    Entry.State = attempt_state::Fenced;
    return {Request.Attempt, fence_verdict::NotRun, {}};
  case attempt_state::Fenced:
    return {Request.Attempt, fence_verdict::NotRun, {}};
  case attempt_state::Sent:
    return {Request.Attempt, fence_verdict::Running, {}};
  case attempt_state::Answered:
    return {Request.Attempt, fence_verdict::Outcome, Entry.Outcome};
  }
  return Undetermined;
}

void attempt_table::tick(time_point Now) {
  for (auto &[Executor, Record] : Executors)
    if (Now - Record.LastMessageAt > Options.SilentRetention)
      evictThrough(Record, sender_time(INT64_MAX));
}

attempt_table::executor_record *
attempt_table::recordSenderTime(const daemon_id &Executor, sender_time Issued,
                                time_point Now) {
  const auto Found = Executors.find(Executor);
  executor_record *Record =
      Found == Executors.end() ? addExecutor(Executor) : &Found->second;
  if (Record == nullptr)
    return nullptr;
  ByLastMessage.splice(ByLastMessage.end(), ByLastMessage, Record->Position);
  Record->LastMessageAt = Now;
  if (Issued > Record->LatestSenderTime) {
    Record->LatestSenderTime = Issued;
    evictExpired(*Record);
  }
  return Record;
}

attempt_table::executor_record *
attempt_table::addExecutor(const daemon_id &Executor) {
  if (Executors.size() >= Options.ExecutorCapacity && !evictOldestExecutor())
    return nullptr;
  executor_record &Record =
      Executors.emplace(Executor, executor_record(Options.DelayWindow))
          .first->second;
  Record.Position = ByLastMessage.insert(ByLastMessage.end(), Executor);
  return &Record;
}

// Dropping an incarnation also drops its `LatestSenderTime` and
// `EvictedThrough`. At the default capacity this happens only after days
// without a message from it; peers close their connections long before.
bool attempt_table::evictOldestExecutor() {
  for (auto Oldest = ByLastMessage.begin(); Oldest != ByLastMessage.end();
       ++Oldest) {
    executor_record &Record = Executors.at(*Oldest);
    evictThrough(Record, sender_time(INT64_MAX));
    if (!Record.ByDeadline.empty())
      continue;
    Executors.erase(*Oldest);
    ByLastMessage.erase(Oldest);
    return true;
  }
  return false;
}

void attempt_table::evictExpired(executor_record &Record) {
  const std::int64_t Kept = Options.Retention.count();
  if (Record.LatestSenderTime.value() > INT64_MIN + Kept)
    evictThrough(Record, sender_time(Record.LatestSenderTime.value() - Kept));
}

// Drops closed attempts whose deadline is at most `Limit`. Queued and sent
// attempts are kept.
void attempt_table::evictThrough(executor_record &Record, sender_time Limit) {
  for (auto At = Record.ByDeadline.begin(); At != Record.ByDeadline.end();) {
    if (At->first > Limit)
      break;
    const auto Found = Entries.find(At->second);
    if (!isClosed(Found->second)) {
      ++At;
      continue;
    }
    Record.EvictedThrough = std::max(Record.EvictedThrough, At->first);
    Entries.erase(Found);
    At = Record.ByDeadline.erase(At);
  }
}

bool attempt_table::evictOldestClosed(executor_record &Record) {
  for (const auto &[Deadline, Attempt] : Record.ByDeadline) {
    if (!isClosed(Entries.at(Attempt)))
      continue;
    evictThrough(Record, Deadline);
    return true;
  }
  return false;
}

bool attempt_table::makeRoom() {
  if (Entries.size() < Options.Capacity)
    return true;
  return std::any_of(ByLastMessage.begin(), ByLastMessage.end(),
                     [this](const auto &Executor) {
                       return evictOldestClosed(Executors.at(Executor));
                     });
}

bool attempt_table::insert(executor_record &Record, const attempt_id &Attempt,
                           entry Added) {
  if (!makeRoom())
    return false;
  // makeRoom() may have raised `EvictedThrough` of the same executor.
  if (Added.SenderDeadline <= Record.EvictedThrough)
    return false;
  Entries.emplace(Attempt, Added);
  Record.ByDeadline.emplace(Added.SenderDeadline, Attempt);
  return true;
}
