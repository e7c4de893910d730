#include "bw_limits/slots/slot_queue.h"

#include "bw_limits/limits_error.h"

#include <algorithm>

using namespace bw;

slot_queue::slot_queue(slot_queue_options Options)
    : Options(std::move(Options)), Waiting(this->Options.Queue), Usable(1),
      ShortTime(this->Options.InitialShortServiceTime),
      LongTime(this->Options.InitialLongServiceTime) {
  coldStart();
}

slot_decisions slot_queue::offer(slot_request Request, time_point Now) {
  if (isInFlight(Request.Attempt) || Waiting.contains(Request.Attempt))
    throw attempt_already_offered(Request.Attempt.text());
  slot_decisions Decisions;
  std::optional<attempt_id> Displaced;
  Decisions.push_back(decide(std::move(Request), Now, Displaced));
  if (Displaced)
    Decisions.push_back({.Attempt = std::move(*Displaced),
                         .Reason = slot_refusal::Displaced,
                         .EstimatedWait = Decisions.front().EstimatedWait});
  return Decisions;
}

slot_decisions slot_queue::finished(const attempt_id &Attempt,
                                    slot_outcome Outcome, time_point Now) {
  slot_decisions Decisions;
  const auto Found = std::find_if(
      InFlight.begin(), InFlight.end(),
      [&](const in_flight_request &Entry) { return Entry.Attempt == Attempt; });
  if (Found == InFlight.end())
    return Decisions;
  recordOutcome(*Found, Outcome, Now);
  LongInFlight -= Found->Long ? 1 : 0;
  InFlight.erase(Found);
  admitWaiting(Now, Decisions);
  return Decisions;
}

cancel_result slot_queue::cancel(const attempt_id &Attempt) {
  if (isInFlight(Attempt))
    return cancel_result::InFlight;
  return Waiting.remove(Attempt) ? cancel_result::Removed
                                 : cancel_result::Unknown;
}

slot_decisions slot_queue::tick(time_point Now) {
  slot_decisions Decisions;
  refuseExpired(Now, Decisions);
  return Decisions;
}

std::optional<time_point> slot_queue::nextTick() const {
  return Waiting.earliestDeadline();
}

slot_decisions slot_queue::close(slot_refusal Reason) {
  CloseReason = Reason;
  slot_decisions Decisions;
  for (slot_request &Request : Waiting.removeAll())
    Decisions.push_back(
        {.Attempt = std::move(Request.Attempt), .Reason = Reason});
  return Decisions;
}

void slot_queue::coldStart() {
  Usable = std::clamp(Options.ColdSlots.value(), 1U,
                      std::max(Options.Slots.value(), 1U));
}

slot_decisions slot_queue::setSlots(slot_count Slots, time_point Now) {
  const bool Grows = Slots > Options.Slots;
  const bool WasFull = Usable >= Options.Slots.value();
  Options.Slots = Slots;
  const std::uint32_t MaxSlots = std::max(Slots.value(), 1U);
  Usable = Grows && WasFull ? MaxSlots : std::min(Usable, MaxSlots);
  slot_decisions Decisions;
  admitWaiting(Now, Decisions);
  return Decisions;
}

slot_count slot_queue::freeSlots() const {
  const std::size_t Taken = InFlight.size() + Waiting.size();
  return slot_count(
      Taken >= Usable ? 0 : Usable - static_cast<std::uint32_t>(Taken));
}

duration slot_queue::meanServiceTime(bool Long) const {
  return Long ? LongTime.mean() : ShortTime.mean();
}

bool slot_queue::hasSlotFor(bool Long) const {
  return InFlight.size() < Usable && (!Long || LongInFlight < longSlots());
}

std::uint32_t slot_queue::longSlots() const {
  const std::uint32_t Slots = Options.Slots.value();
  const std::uint32_t Reserved =
      std::min(Options.ReservedForShort(Options.Slots).value(), Slots);
  return std::max(1U, Slots - Reserved);
}

void slot_queue::admit(const slot_request &Request, time_point Now) {
  InFlight.push_back(
      {.Attempt = Request.Attempt, .AdmittedAt = Now, .Long = Request.Long});
  LongInFlight += Request.Long ? 1 : 0;
}

// A slot that is free here cannot be used by any waiting request, since each
// request that ends admits those that fit.
slot_decision slot_queue::decide(slot_request &&Request, time_point Now,
                                 std::optional<attempt_id> &Displaced) {
  slot_decision Decision{.Attempt = Request.Attempt};
  if (CloseReason) {
    Decision.Reason = *CloseReason;
    return Decision;
  }
  if (Request.Deadline <= Now) {
    Decision.Reason = slot_refusal::DeadlinePassed;
    return Decision;
  }
  if (hasSlotFor(Request.Long)) {
    admit(Request, Now);
    Decision.Type = slot_decision_type::Admitted;
    return Decision;
  }
  if (Request.MayWait)
    return enqueue(std::move(Request), Now, Displaced);
  Decision.Reason = slot_refusal::NoFreeSlot;
  Decision.EstimatedWait =
      estimateWait(Request.Long, Waiting.bucketOf(Request.Caller));
  return Decision;
}

slot_decision slot_queue::enqueue(slot_request &&Request, time_point Now,
                                  std::optional<attempt_id> &Displaced) {
  const std::uint32_t Bucket = Waiting.bucketOf(Request.Caller);
  slot_decision Decision{.Attempt = Request.Attempt,
                         .EstimatedWait = estimateWait(Request.Long, Bucket)};
  // Compares durations, since the deadline may be the largest time_point.
  if (Request.Deadline - Now <
      Decision.EstimatedWait + meanServiceTime(Request.Long))
    Decision.Reason = slot_refusal::DeadlineTooClose;
  else if (Waiting.push(std::move(Request), Bucket, Displaced))
    Decision.Type = slot_decision_type::Queued;
  return Decision;
}

duration slot_queue::estimateWait(bool Long, std::uint32_t Bucket) const {
  const bool LongOnly = Long && LongInFlight >= longSlots();
  const std::uint32_t Ahead = Waiting.requestsAhead(Bucket, LongOnly);
  const double Rate = completionsPerNanosecond(LongOnly);
  return duration(static_cast<duration::rep>((Ahead + 1) / Rate));
}

double slot_queue::completionsPerNanosecond(bool LongOnly) const {
  const auto PerRequest = [](duration Mean) {
    return 1.0 / static_cast<double>(std::max<duration::rep>(Mean.count(), 1));
  };
  double Rate = static_cast<double>(LongInFlight) * PerRequest(LongTime.mean());
  if (!LongOnly)
    Rate += static_cast<double>(InFlight.size() - LongInFlight) *
            PerRequest(ShortTime.mean());
  return Rate;
}

// A failure counts for the service time only if it took longer than the mean:
// an early failure is no evidence of it, but a time-out is. A server that sheds
// load gets one request fewer until it answers again.
void slot_queue::recordOutcome(const in_flight_request &Ended,
                               slot_outcome Outcome, time_point Now) {
  service_time &Time = Ended.Long ? LongTime : ShortTime;
  const duration Held = Now - Ended.AdmittedAt;
  const std::uint32_t MaxSlots = std::max(Options.Slots.value(), 1U);
  switch (Outcome) {
  case slot_outcome::Answered:
    Time.record(Held);
    Usable = std::min(Usable + 1, MaxSlots);
    return;
  case slot_outcome::Shed:
    Usable = std::max(Usable - 1, 1U);
    return;
  case slot_outcome::Failed:
    if (Held > Time.mean())
      Time.record(Held);
    return;
  }
}

void slot_queue::admitWaiting(time_point Now, slot_decisions &Decisions) {
  refuseExpired(Now, Decisions);
  while (hasSlotFor(false)) {
    std::optional<slot_request> Next = Waiting.pop(hasSlotFor(true));
    if (!Next)
      return;
    admit(*Next, Now);
    Decisions.push_back({.Attempt = std::move(Next->Attempt),
                         .Type = slot_decision_type::Admitted});
  }
}

void slot_queue::refuseExpired(time_point Now, slot_decisions &Decisions) {
  for (slot_request &Request : Waiting.removeExpired(Now))
    Decisions.push_back({.Attempt = std::move(Request.Attempt),
                         .Reason = slot_refusal::DeadlinePassed});
}

bool slot_queue::isInFlight(const attempt_id &Attempt) const {
  return std::any_of(
      InFlight.begin(), InFlight.end(),
      [&](const in_flight_request &Entry) { return Entry.Attempt == Attempt; });
}
