#ifndef BW_DELIVERY_ATTEMPTS_ATTEMPT_MESSAGES_H
#define BW_DELIVERY_ATTEMPTS_ATTEMPT_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_delivery/outcomes/request_outcome.h"

#include <cstdint>
#include <optional>

namespace bw {

/// Nanoseconds on the monotonic clock of the sending daemon. Comparable only
/// with other times of the same incarnation.
using sender_time = strong_number<struct sender_time_tag, std::int64_t>;

inline sender_time senderTime(time_point Time) {
  return sender_time(Time.time_since_epoch().count());
}

/// The fields of a `forward` message that the attempt table uses.
struct attempt_offer {
  attempt_id Attempt;
  sender_time Issued;
  /// Time remaining to the deadline when the message was sent.
  duration Remaining{};

  sender_time deadline() const {
    return sender_time(Issued.value() + Remaining.count());
  }
};

/// Asks an owner incarnation to prevent an attempt from running. `Deadline` is
/// the latest deadline with which the attempt was offered.
struct fence_request {
  attempt_id Attempt;
  sender_time Issued;
  sender_time Deadline;
};

enum class fence_verdict {
  NotRun,     ///< not run, and never will be
  Outcome,    ///< answered; the outcome is included
  Running,    ///< sent, not yet answered: may have run, fence again later
  MayHaveRun, ///< it can no longer be determined whether it ran
  OwnerGone   ///< the owner incarnation no longer exists
};

struct fence_reply {
  attempt_id Attempt;
  fence_verdict Verdict = fence_verdict::MayHaveRun;
  attempt_outcome Outcome;
};

enum class attempt_verdict {
  Accepted,
  Duplicate,    ///< already in the table; includes the outcome, if any
  Fenced,       ///< not run, and never will be
  PastDeadline, ///< refused; see `NotRun`
  Full          ///< the table is full; refused without a record
};

struct attempt_acceptance {
  attempt_verdict Verdict = attempt_verdict::Full;
  /// The refusal is final: the attempt was not run and never will be.
  bool NotRun = false;
  /// Deadline on the owner's clock; set when accepted.
  time_point Deadline{};
  std::optional<attempt_outcome> Outcome;
};

} // namespace bw

#endif
