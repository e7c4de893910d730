#ifndef BW_LIMITS_SLOTS_SLOT_REQUEST_H
#define BW_LIMITS_SLOTS_SLOT_REQUEST_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <vector>

namespace bw {

/// A request for a slot of an instance.
struct slot_request {
  attempt_id Attempt;
  caller_id Caller;
  /// A long-running request, for example an export. Some slots are reserved for
  /// short requests.
  bool Long = false;
  /// If false and no slot is free, the request is refused with `NoFreeSlot`
  /// instead of being queued, because the entry host tries another instance
  /// first.
  bool MayWait = true;
  time_point Deadline = time_point::max();
};

/// Reason for refusing a request. Only requests that were never admitted are
/// refused, so a refused request was not run.
enum class slot_refusal {
  NoFreeSlot,       ///< All slots are in use and the request may not wait.
  QueueFull,        ///< The queue is full and the caller has its fair share.
  DeadlineTooClose, ///< The request is not expected to end in time.
  DeadlinePassed,   ///< The deadline passed before a slot was free.
  Displaced,        ///< Evicted for a caller with fewer waiting requests.
  ServerLeaving,    ///< The backend server is leaving.
  ServerEjected,    ///< The backend server was ejected.
  OwnershipMoved,   ///< Another host owns the backend server.
  HostStopping,     ///< This host is stopping.
};

enum class slot_decision_type {
  Admitted, ///< Must be sent now and be ended by `finished`.
  Queued,   ///< Will be admitted or refused by a later call.
  Refused,  ///< Not run.
};

struct slot_decision {
  attempt_id Attempt;
  slot_decision_type Type = slot_decision_type::Refused;
  /// Set for `Refused` only.
  slot_refusal Reason = slot_refusal::QueueFull;
  /// Estimated time until a slot is free; set for `Queued` and `Refused`.
  duration EstimatedWait{0};
};
using slot_decisions = std::vector<slot_decision>;

/// Outcome of an admitted request.
enum class slot_outcome {
  Answered, ///< The backend server answered.
  Shed,     ///< The backend server refused it, being overloaded.
  Failed,   ///< Any other outcome, including cancellation.
};

enum class cancel_result {
  Removed,  ///< It was removed from the queue and is never run.
  InFlight, ///< It keeps its slot until `finished`.
  Unknown,  ///< It is neither waiting nor in flight.
};

} // namespace bw

#endif
