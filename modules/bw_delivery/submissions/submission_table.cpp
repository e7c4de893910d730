#include "bw_delivery/submissions/submission_table.h"

#include "bw_core/random/stable_hash.h"

#include <utility>

using namespace bw;

submission_table::submission_table(daemon_id Self, random_source &Random,
                                   submission_table_options Options)
    : Self(std::move(Self)), Options(std::move(Options)), Random(Random.next()),
      Secret(Random.next()) {
  if (!this->Options.Checksum)
    this->Options.Checksum = [this](const submission_ticket &Ticket) {
      return defaultChecksum(Ticket);
    };
}

ticket_checksum
submission_table::defaultChecksum(const submission_ticket &Ticket) const {
  std::uint64_t Hash = mixHash(Secret, Ticket.Nonce.value());
  Hash = mixHash(Hash, stableHash(Ticket.Caller.value()));
  Hash = mixHash(Hash, stableHash(Ticket.Service.value()));
  Hash = mixHash(Hash, static_cast<std::uint64_t>(Ticket.Expiry.value()));
  return ticket_checksum(mixHash(Hash, Secret));
}

submission_ticket submission_table::issue(const caller_id &Caller,
                                          const service_id &Service,
                                          time_point Now) {
  submission_ticket Ticket{Self,
                           ticket_nonce(Random.next()),
                           Caller,
                           Service,
                           senderTime(Now + Options.TicketLifetime),
                           {}};
  Ticket.Checksum = Options.Checksum(Ticket);
  return Ticket;
}

submission_decision
submission_table::offerTicket(const submission_ticket &Ticket,
                              const caller_id &Caller,
                              const service_id &Service, time_point Now) {
  const submission_key Key = Ticket.Nonce;
  if (Ticket.Executor.Host != Self.Host) {
    submission_decision Route = makeDecision(submission_action::RouteTo, Key);
    Route.Claim.Executor = Ticket.Executor;
    return Route;
  }
  if (Ticket.Executor != Self)
    return refuse(submission_reason::OtherIncarnation, request_outcome::Unknown,
                  Key);
  // No submission can run under a ticket that was not issued to this caller
  // for this service, so these two refusals can safely report `NotRun`.
  if (Ticket.Caller != Caller || Ticket.Service != Service)
    return refuse(submission_reason::OtherCaller, request_outcome::NotRun, Key);
  if (Ticket.Checksum != Options.Checksum(Ticket))
    return refuse(submission_reason::InvalidTicket, request_outcome::NotRun,
                  Key);
  if (const auto Found = Entries.find(Key); Found != Entries.end())
    return decideExisting(Key, Found->second);
  // A submission with this ticket may have run before the ticket expired; its
  // record would have been dropped since.
  const time_point Expiry{duration(Ticket.Expiry.value())};
  if (Now >= Expiry)
    return refuse(submission_reason::ExpiredTicket, request_outcome::Unknown,
                  Key);
  return addAndRun(Key, Expiry);
}

submission_decision
submission_table::offerIdentity(const submission_identity &Identity,
                                time_point Now) {
  const submission_key Key = Identity;
  const auto Found = Entries.find(Key);
  entry *Entry = Found == Entries.end() ? add(Key, Now + Options.TicketLifetime)
                                        : &Found->second;
  if (Entry == nullptr)
    return refuse(submission_reason::TableFull, request_outcome::Unknown, Key);
  if (Found != Entries.end() && Entry->State != submission_state::Unresolved)
    return decideExisting(Key, *Entry);
  // The nonce of an unresolved claim is reused, as an earlier create may have
  // taken effect.
  if (Entry->Nonce.value() == 0)
    Entry->Nonce = claim_nonce(Random.next() | 1); // 0 means no nonce yet.
  Entry->ClaimCalls = 0;
  setExpiry(Key, *Entry, Now + Options.TicketLifetime);
  return createClaim(Key, *Entry);
}

submission_decision
submission_table::offerClaimed(const submission_identity &Identity,
                               const submission_claim &Claim, time_point Now) {
  const submission_key Key = Identity;
  if (Claim.Executor != Self)
    return refuse(submission_reason::OtherIncarnation, request_outcome::Unknown,
                  Key);
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return refuse(submission_reason::ForgottenClaim, request_outcome::Unknown,
                  Key);
  entry &Entry = Found->second;
  const bool ClaimOpen = Entry.State == submission_state::Unresolved ||
                         Entry.State == submission_state::Creating ||
                         Entry.State == submission_state::Reading;
  if (!ClaimOpen)
    return decideExisting(Key, Entry);
  // The claim carries the nonce of an earlier record that was dropped.
  if (Claim.Nonce != Entry.Nonce)
    return refuse(submission_reason::ForgottenClaim, request_outcome::Unknown,
                  Key);
  setExpiry(Key, Entry, Now + Options.TicketLifetime);
  return run(Key, Entry);
}

submission_decision
submission_table::claimAnswered(const submission_identity &Identity,
                                const claim_answer &Answer, time_point) {
  const submission_key Key = Identity;
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return refuse(submission_reason::ForgottenClaim, request_outcome::Unknown,
                  Key);
  entry &Entry = Found->second;
  if (Entry.State != submission_state::Creating &&
      Entry.State != submission_state::Reading)
    return decideExisting(Key, Entry);
  switch (Answer.Kind) {
  case claim_answer_kind::Created:
    return run(Key, Entry);
  case claim_answer_kind::Exists:
    return resolveClaim(Key, Entry, Answer.Holder);
  case claim_answer_kind::Absent:
    return createClaim(Key, Entry);
  case claim_answer_kind::Lost:
    return readClaim(Key, Entry);
  case claim_answer_kind::Unavailable:
    return markUnresolved(Key, Entry);
  }
  return markUnresolved(Key, Entry);
}

submission_decision submission_table::createClaim(const submission_key &Key,
                                                  entry &Entry) {
  if (++Entry.ClaimCalls > Options.ClaimCalls)
    return markUnresolved(Key, Entry);
  Entry.State = submission_state::Creating;
  submission_decision Decision =
      makeDecision(submission_action::CreateClaim, Key);
  Decision.Claim = {Self, Entry.Nonce};
  return Decision;
}

submission_decision submission_table::readClaim(const submission_key &Key,
                                                entry &Entry) {
  if (++Entry.ClaimCalls > Options.ClaimCalls)
    return markUnresolved(Key, Entry);
  Entry.State = submission_state::Reading;
  return makeDecision(submission_action::ReadClaim, Key);
}

// The outcome is reported as unknown: an earlier try with the same identity may
// have run at another executor, which only the claim can show.
submission_decision submission_table::markUnresolved(const submission_key &Key,
                                                     entry &Entry) {
  Entry.State = submission_state::Unresolved;
  return refuse(submission_reason::StoreUnavailable, request_outcome::Unknown,
                Key);
}

submission_decision
submission_table::resolveClaim(const submission_key &Key, entry &Entry,
                               const submission_claim &Holder) {
  if (Holder == submission_claim{Self, Entry.Nonce})
    return run(Key, Entry);
  const auto Found = Entries.find(Key);
  erase(Found);
  if (Holder.Executor == Self)
    return refuse(submission_reason::ForgottenClaim, request_outcome::Unknown,
                  Key);
  if (Holder.Executor.Host == Self.Host)
    return refuse(submission_reason::OtherIncarnation, request_outcome::Unknown,
                  Key);
  submission_decision Route = makeDecision(submission_action::RouteTo, Key);
  Route.Claim = Holder;
  return Route;
}

submission_decision submission_table::run(const submission_key &Key,
                                          entry &Entry) {
  Entry.State = submission_state::Running;
  return makeDecision(submission_action::Run, Key);
}

submission_decision submission_table::addAndRun(const submission_key &Key,
                                                time_point Expiry) {
  entry *Entry = add(Key, Expiry);
  if (Entry == nullptr)
    return refuse(submission_reason::TableFull, request_outcome::Unknown, Key);
  return run(Key, *Entry);
}

submission_decision submission_table::decideExisting(const submission_key &Key,
                                                     const entry &Entry) const {
  if (Entry.State == submission_state::Ended) {
    submission_decision Replay = makeDecision(submission_action::Replay, Key);
    Replay.Result = Entry.Result;
    return Replay;
  }
  if (Entry.State == submission_state::Unresolved)
    return refuse(submission_reason::StoreUnavailable, request_outcome::Unknown,
                  Key);
  return makeDecision(submission_action::Join, Key);
}

void submission_table::finished(const submission_key &Key,
                                submission_result Result, time_point Now) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() ||
      Found->second.State != submission_state::Running)
    return;
  entry &Entry = Found->second;
  Entry.State = submission_state::Ended;
  Entry.Result = std::move(Result);
  // The record of a ticket may be dropped once the ticket expires; that of a
  // claim is kept for a full lifetime after the submission ended.
  if (std::holds_alternative<submission_identity>(Key))
    setExpiry(Key, Entry, Now + Options.TicketLifetime);
  if (Entry.Result.Body.empty())
    return;
  Entry.BodyOrder = ++LastBodyOrder;
  Bodies.emplace(Entry.BodyOrder, Key);
  BodyBytes += byte_count(Entry.Result.Body.size());
  while (BodyBytes > Options.BodyCapacity)
    dropBody(Entries.at(Bodies.begin()->second));
}

submission_decision submission_table::status(const submission_key &Key) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return refuse(submission_reason::None, request_outcome::Unknown, Key);
  return decideExisting(Key, Found->second);
}

void submission_table::tick(time_point Now) {
  for (auto At = ByExpiry.begin(); At != ByExpiry.end();) {
    if (At->first > Now)
      break;
    const auto Found = Entries.find(At->second);
    ++At;
    const submission_state State = Found->second.State;
    if (State == submission_state::Ended ||
        State == submission_state::Unresolved)
      erase(Found);
  }
}

submission_decision
submission_table::makeDecision(submission_action Action,
                               const submission_key &Key) const {
  submission_decision Decision;
  Decision.Action = Action;
  Decision.Key = Key;
  return Decision;
}

submission_decision submission_table::refuse(submission_reason Reason,
                                             request_outcome Reported,
                                             const submission_key &Key) const {
  submission_decision Decision = makeDecision(submission_action::Refuse, Key);
  Decision.Reason = Reason;
  Decision.Result.Outcome.Reported = Reported;
  return Decision;
}

submission_table::entry *submission_table::add(const submission_key &Key,
                                               time_point Expiry) {
  if (Entries.size() >= Options.Capacity)
    return nullptr;
  entry &Added = Entries[Key];
  Added.Expiry = Expiry;
  ByExpiry.emplace(Expiry, Key);
  return &Added;
}

void submission_table::erase(entry_map::iterator At) {
  dropBody(At->second);
  ByExpiry.erase({At->second.Expiry, At->first});
  Entries.erase(At);
}

void submission_table::setExpiry(const submission_key &Key, entry &Entry,
                                 time_point Expiry) {
  ByExpiry.erase({Entry.Expiry, Key});
  Entry.Expiry = Expiry;
  ByExpiry.emplace(Expiry, Key);
}

void submission_table::dropBody(entry &Entry) {
  if (Bodies.erase(Entry.BodyOrder) == 0)
    return;
  BodyBytes -= byte_count(Entry.Result.Body.size());
  Entry.Result.Body = {};
  Entry.Result.BodyDropped = true;
}
