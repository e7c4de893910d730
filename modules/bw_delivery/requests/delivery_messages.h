#ifndef BW_DELIVERY_REQUESTS_DELIVERY_MESSAGES_H
#define BW_DELIVERY_REQUESTS_DELIVERY_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_delivery/attempts/attempt_messages.h"
#include "bw_delivery/outcomes/request_outcome.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bw {

/// Validator of an answer, taken from its `ETag` header.
using entity_tag = strong_text<struct entity_tag_tag>;

/// True for a strong validator, which guarantees byte-for-byte equality. Weak
/// validators start with `W/`.
inline bool isStrong(const entity_tag &Tag) {
  return Tag.value().starts_with('"');
}

/// Destination of an attempt: the instance and the owner incarnation that
/// forwards to it.
struct attempt_target {
  daemon_id Owner;
  backend_server_id Server;
};

/// The head of an answer from an owner.
struct answer_head {
  /// Request id that the answer carries.
  request_id Request;
  answer_status Status;
  entity_tag Tag;
  /// Length of the body that follows, if declared.
  std::optional<byte_count> Length;
  /// Offset of the first body byte in the representation, for a partial answer
  /// (206).
  byte_count RangeStart;
  /// Length of the complete representation; for a partial answer, if declared.
  std::optional<byte_count> Total;
};

/// Select a backend server; answered by `serverPicked` or `noServerAvailable`.
struct pick_server {
  std::vector<backend_server_id> Avoid;
};

/// Forward the request to the owner.
struct forward_request {
  attempt_offer Offer;
  attempt_target To;
  bool Repeatable = false;
  /// For a resumed transfer: `Range: bytes=<first>-` with `If-Range: <tag>`.
  struct resume_range {
    byte_count First;
    entity_tag Tag;
  };
  std::optional<resume_range> Resume;
};

struct send_fence {
  fence_request Fence;
  daemon_id Owner;
};

/// Cancel an attempt whose answer is no longer needed.
struct cancel_attempt {
  attempt_id Attempt;
  daemon_id Owner;
};

/// Relay the answer head of this attempt to the caller, then its body.
struct relay_head {
  attempt_id Attempt;
};

/// Relay the body of this attempt, continuing after the bytes that the caller
/// has already received.
struct relay_resumed {
  attempt_id Attempt;
};

/// The answer belongs to another request: close its connection and log the
/// mismatch.
struct discard_answer {
  attempt_id Attempt;
  request_id Claimed;
};

/// The complete answer was relayed; end the caller's stream cleanly.
struct end_answer {
  attempt_outcome Outcome;
};

/// The answer cannot be completed; reset the caller's connection.
struct abort_answer {
  attempt_outcome Outcome;
};

/// Report the outcome without a relayed answer. For `Done` only the status is
/// known.
struct report_outcome {
  attempt_outcome Outcome;
  std::string Reason;
};

/// Call `timer` at this time. Replaces any earlier `wake_at`.
struct wake_at {
  time_point At{};
};

using delivery_command =
    std::variant<pick_server, forward_request, send_fence, cancel_attempt,
                 relay_head, relay_resumed, discard_answer, end_answer,
                 abort_answer, report_outcome, wake_at>;
using delivery_commands = std::vector<delivery_command>;

} // namespace bw

#endif
