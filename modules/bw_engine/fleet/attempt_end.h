#ifndef BW_ENGINE_FLEET_ATTEMPT_END_H
#define BW_ENGINE_FLEET_ATTEMPT_END_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <string>

namespace bw {

/// Result of an attempt as reported by its owner.
enum class attempt_end_kind {
  Complete,   ///< the complete answer was relayed
  NotRun,     ///< not run, and never will be
  MayHaveRun, ///< may have reached the backend server; no complete answer
  NotOwner,   ///< not run; another host owns the instance
};

/// Final message of an attempt, from the owner to the entry host.
struct attempt_end {
  attempt_end_kind Kind = attempt_end_kind::MayHaveRun;
  /// Machine-readable reason, for example `queue_full`; empty when complete.
  std::string Reason;
  /// The host to use instead; set for `NotOwner`.
  host_id RedirectTo;
  slot_count FreeSlots;
  /// Ejection score of the instance for the request's kind; 0 if not ejected.
  double Score = 0;
  /// Remaining time of the ejection, or the delay before a retry.
  duration RetryAfter{};
  /// Time since the request was sent to the backend server.
  duration ServerLatency{};
};

} // namespace bw

#endif
