#ifndef BW_DELIVERY_SUBMISSIONS_SUBMISSION_TABLE_H
#define BW_DELIVERY_SUBMISSIONS_SUBMISSION_TABLE_H

#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_delivery/submissions/submission_messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace bw {

struct submission_table_options {
  /// Maximum number of submissions, about 400 bytes each without the body.
  std::size_t Capacity = 50'000;
  /// Limit on the total size of stored bodies; the oldest are dropped first.
  byte_count BodyCapacity = mebibytes(16);
  duration TicketLifetime = std::chrono::hours(1);
  /// Limit on store calls for one claim; beyond it the outcome is reported as
  /// unknown.
  unsigned ClaimCalls = 6;
  /// Keyed checksum of a ticket without its checksum. The default mixes hashes
  /// with a secret that is random for each incarnation. It detects errors but
  /// not deliberate forgery, which could affect only the forger's own tickets.
  std::function<ticket_checksum(const submission_ticket &)> Checksum;
};

/// Submissions of this executor incarnation, each run at most once.
///
/// A submission that was reported as not run keeps this outcome under its
/// identity, because a delayed copy cannot be distinguished from a retry by the
/// caller. To try again, the caller uses a new key or ticket. Without a record
/// of a submission that may have run, the table reports `Unknown`, never
/// `NotRun`. Not thread-safe; not copyable.
class submission_table {
public:
  submission_table(daemon_id Self, random_source &Random,
                   submission_table_options Options = {});
  submission_table(const submission_table &) = delete;
  submission_table &operator=(const submission_table &) = delete;

  submission_ticket issue(const caller_id &Caller, const service_id &Service,
                          time_point Now);

  /// A submission with a ticket from the authenticated `Caller`.
  submission_decision offerTicket(const submission_ticket &Ticket,
                                  const caller_id &Caller,
                                  const service_id &Service, time_point Now);

  /// A submission without a ticket that this daemon received from a caller.
  submission_decision offerIdentity(const submission_identity &Identity,
                                    time_point Now);

  /// A submission that another entry host routed here because the claim in the
  /// store names this daemon.
  submission_decision offerClaimed(const submission_identity &Identity,
                                   const submission_claim &Claim,
                                   time_point Now);

  /// The store's answer to the last `CreateClaim` or `ReadClaim` of this
  /// identity.
  submission_decision claimAnswered(const submission_identity &Identity,
                                    const claim_answer &Answer, time_point Now);

  /// Stores the result of a running submission. Unknown keys are ignored.
  void finished(const submission_key &Key, submission_result Result,
                time_point Now);

  /// The state of a submission; `Unknown` if there is no record.
  submission_decision status(const submission_key &Key) const;

  /// Drops submissions past their expiry. Call about once per second.
  void tick(time_point Now);

  std::size_t size() const { return Entries.size(); }
  byte_count bodyBytes() const { return BodyBytes; }

private:
  enum class submission_state { Creating, Reading, Unresolved, Running, Ended };

  struct entry {
    submission_state State = submission_state::Running;
    claim_nonce Nonce;
    unsigned ClaimCalls = 0;
    submission_result Result;
    time_point Expiry{};
    std::uint64_t BodyOrder = 0;
  };
  using entry_map = std::map<submission_key, entry>;

  submission_decision makeDecision(submission_action Action,
                                   const submission_key &Key) const;
  submission_decision refuse(submission_reason Reason, request_outcome Reported,
                             const submission_key &Key) const;
  submission_decision addAndRun(const submission_key &Key, time_point Expiry);
  submission_decision decideExisting(const submission_key &Key,
                                     const entry &Entry) const;
  submission_decision createClaim(const submission_key &Key, entry &Entry);
  submission_decision readClaim(const submission_key &Key, entry &Entry);
  submission_decision markUnresolved(const submission_key &Key, entry &Entry);
  submission_decision resolveClaim(const submission_key &Key, entry &Entry,
                                   const submission_claim &Holder);
  submission_decision run(const submission_key &Key, entry &Entry);
  entry *add(const submission_key &Key, time_point Expiry);
  void erase(entry_map::iterator At);
  void setExpiry(const submission_key &Key, entry &Entry, time_point Expiry);
  void dropBody(entry &Entry);
  ticket_checksum defaultChecksum(const submission_ticket &Ticket) const;

  daemon_id Self;
  submission_table_options Options;
  random_source Random;
  std::uint64_t Secret;
  entry_map Entries;
  std::set<std::pair<time_point, submission_key>> ByExpiry;
  /// Entries with a stored body, oldest first.
  std::map<std::uint64_t, submission_key> Bodies;
  std::uint64_t LastBodyOrder = 0;
  byte_count BodyBytes;
};

} // namespace bw

#endif
