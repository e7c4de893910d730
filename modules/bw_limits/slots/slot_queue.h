#ifndef BW_LIMITS_SLOTS_SLOT_QUEUE_H
#define BW_LIMITS_SLOTS_SLOT_QUEUE_H

#include "bw_core/ids/units.h"
#include "bw_limits/slots/fair_queue.h"
#include "bw_limits/slots/service_time.h"
#include "bw_limits/slots/slot_request.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bw {

struct slot_queue_options {
  /// Requests that the backend server runs concurrently.
  slot_count Slots{1};
  /// Slots reserved for short requests. Long requests may always use at least
  /// one slot. The default reserves 1 of 2 and 2 of 6 slots.
  std::function<slot_count(slot_count Slots)> ReservedForShort =
      [](slot_count Slots) {
        return slot_count(Slots.value() < 4 ? Slots.value() / 2
                                            : Slots.value() / 3);
      };
  /// Usable slots after a cold start, until the backend server has answered.
  /// Each answer adds one.
  slot_count ColdSlots{1};
  /// Estimated service times before the first answer.
  duration InitialShortServiceTime = std::chrono::milliseconds(50);
  duration InitialLongServiceTime = std::chrono::seconds(2);
  fair_queue_options Queue = {};
};

/// Slots and queue of one instance at its owner. The requests in flight never
/// exceed the slots, the queue is bounded, and callers get fair shares. Only
/// requests that were never admitted are refused. Not thread-safe.
class slot_queue {
public:
  explicit slot_queue(slot_queue_options Options);

  /// Admits, queues or refuses a request. The first decision is for the offered
  /// request; a decision for a displaced request may follow. Throws
  /// `attempt_already_offered`.
  slot_decisions offer(slot_request Request, time_point Now);

  /// Ends an admitted request. Returns decisions for the requests that are
  /// admitted in its place and for those whose deadline has passed. Unknown
  /// attempts are ignored.
  slot_decisions finished(const attempt_id &Attempt, slot_outcome Outcome,
                          time_point Now);

  /// Called when the caller no longer waits for the request.
  cancel_result cancel(const attempt_id &Attempt);

  /// Refuses waiting requests whose deadline has passed.
  slot_decisions tick(time_point Now);
  /// Returns when `tick` must be called next.
  std::optional<time_point> nextTick() const;

  /// Refuses all waiting requests, and all new ones until `open`, with this
  /// reason. Requests in flight are not affected.
  slot_decisions close(slot_refusal Reason);
  void open() { CloseReason.reset(); }
  bool isOpen() const { return !CloseReason; }

  /// Called when the backend server has restarted or returns from an ejection.
  /// Reduces the usable slots until it has answered again.
  void coldStart();

  /// Changes the number of slots. Requests in flight beyond the new number are
  /// not interrupted.
  slot_decisions setSlots(slot_count Slots, time_point Now);

  /// Free slots minus waiting requests, as reported in answers.
  slot_count freeSlots() const;
  slot_count usableSlots() const { return slot_count(Usable); }
  std::size_t inFlight() const { return InFlight.size(); }
  std::size_t longInFlight() const { return LongInFlight; }
  std::size_t waiting() const { return Waiting.size(); }
  duration meanServiceTime(bool Long) const;

private:
  struct in_flight_request {
    attempt_id Attempt;
    time_point AdmittedAt;
    bool Long = false;
  };

  bool hasSlotFor(bool Long) const;
  std::uint32_t longSlots() const;
  void admit(const slot_request &Request, time_point Now);
  slot_decision decide(slot_request &&Request, time_point Now,
                       std::optional<attempt_id> &Displaced);
  slot_decision enqueue(slot_request &&Request, time_point Now,
                        std::optional<attempt_id> &Displaced);
  duration estimateWait(bool Long, std::uint32_t Bucket) const;
  double completionsPerNanosecond(bool LongOnly) const;
  void recordOutcome(const in_flight_request &Ended, slot_outcome Outcome,
                     time_point Now);
  void admitWaiting(time_point Now, slot_decisions &Decisions);
  void refuseExpired(time_point Now, slot_decisions &Decisions);
  bool isInFlight(const attempt_id &Attempt) const;

  slot_queue_options Options;
  fair_queue Waiting;
  std::vector<in_flight_request> InFlight;
  std::size_t LongInFlight = 0;
  std::uint32_t Usable;
  service_time ShortTime;
  service_time LongTime;
  std::optional<slot_refusal> CloseReason;
};

} // namespace bw

#endif
