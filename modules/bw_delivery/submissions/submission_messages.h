#ifndef BW_DELIVERY_SUBMISSIONS_SUBMISSION_MESSAGES_H
#define BW_DELIVERY_SUBMISSIONS_SUBMISSION_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_delivery/attempts/attempt_messages.h"
#include "bw_delivery/outcomes/request_outcome.h"

#include <cstdint>
#include <string>
#include <variant>

namespace bw {

/// Chosen at random for each ticket.
using ticket_nonce = strong_number<struct ticket_nonce_tag>;
/// Chosen at random for each claim; distinguishes a daemon's own claims from
/// those of others.
using claim_nonce = strong_number<struct claim_nonce_tag>;
/// Shows that the executor issued the ticket and that it is unchanged.
using ticket_checksum = strong_number<struct ticket_seal_tag>;

/// Identity of a submission without a ticket.
struct submission_identity {
  caller_id Caller;
  service_id Service;
  idempotency_key Key;

  friend auto operator<=>(const submission_identity &,
                          const submission_identity &) = default;
};

/// Issued in advance; binds a submission to one executor incarnation.
struct submission_ticket {
  daemon_id Executor;
  ticket_nonce Nonce;
  caller_id Caller;
  service_id Service;
  /// On the executor's monotonic clock.
  sender_time Expiry;
  ticket_checksum Checksum;
};

/// Key of an entry in the submission table.
using submission_key = std::variant<submission_identity, ticket_nonce>;

/// Claim object in the store: names the executor of a submission.
struct submission_claim {
  daemon_id Executor;
  claim_nonce Nonce;

  friend bool operator==(const submission_claim &,
                         const submission_claim &) = default;
};

enum class claim_answer_kind {
  Created,    ///< the claim was written
  Exists,     ///< the claim exists; `Holder` is set
  Absent,     ///< no claim was found by a read
  Lost,       ///< no answer; a write may take effect, now or later
  Unavailable ///< the store refused the call; it had no effect
};

/// The store's answer to a create or a read of a claim.
struct claim_answer {
  claim_answer_kind Kind = claim_answer_kind::Lost;
  submission_claim Holder;
};

enum class submission_action {
  Run,         ///< forward it to an owner now, then call `finished`
  Join,        ///< in progress; report its outcome to this caller as well
  Replay,      ///< finished; `Result` is the stored result
  CreateClaim, ///< create the claim in the store if it is absent
  ReadClaim,   ///< read the claim back from the store
  RouteTo,     ///< another daemon is the executor
  Refuse       ///< report `Result.Outcome.Reported` and `Reason` to the caller
};

enum class submission_reason {
  None,
  OtherIncarnation, ///< the executor is gone; whether it ran is unknown
  OtherCaller,      ///< the ticket belongs to another caller or service
  InvalidTicket,    ///< not issued by this daemon, or modified
  ExpiredTicket,    ///< expired; its record may have been dropped
  ForgottenClaim,   ///< the claim names this daemon; its record was dropped
  StoreUnavailable, ///< the claim is unresolved; retry with the same key
  TableFull         ///< no room for a record; retry with the same key
};

/// The stored result of a finished submission. When the stored bodies exceed
/// their capacity, the body is cleared and `BodyDropped` is set; the outcome is
/// kept.
struct submission_result {
  attempt_outcome Outcome;
  std::string Body;
  bool BodyDropped = false;
};

struct submission_decision {
  submission_action Action = submission_action::Refuse;
  submission_key Key;
  /// For `CreateClaim` the claim to write, for `RouteTo` that of the other
  /// executor; of a ticket only `Executor` is set.
  submission_claim Claim;
  submission_result Result;
  submission_reason Reason = submission_reason::None;
};

} // namespace bw

#endif
