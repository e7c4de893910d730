#ifndef BW_DELIVERY_ATTEMPTS_ATTEMPT_TABLE_H
#define BW_DELIVERY_ATTEMPTS_ATTEMPT_TABLE_H

#include "bw_delivery/attempts/attempt_messages.h"
#include "bw_delivery/attempts/delay_estimate.h"

#include <cstddef>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace bw {

struct attempt_table_options {
  /// Maximum number of attempts, about 200 bytes each.
  std::size_t Capacity = 65'536;
  /// Maximum number of executor incarnations. At 850 restarts a day this covers
  /// more than three days.
  std::size_t ExecutorCapacity = 4'096;
  /// How long an answered or fenced attempt is kept after its deadline, so that
  /// a fence sent at the deadline still obtains the outcome.
  duration Retention = std::chrono::seconds(30);
  /// Closed attempts of an executor are dropped when it has sent no message for
  /// this time.
  duration SilentRetention = std::chrono::minutes(10);
  duration DelayWindow = std::chrono::seconds(10);
};

/// Attempts that this owner incarnation has accepted or refused.
///
/// Each message carries the time of its sender's monotonic clock. The table
/// keeps the latest sender time of each executor incarnation and the latest
/// deadline among its dropped records, and refuses attempts whose deadline is
/// not later than both. A tombstone can therefore be dropped without a delayed
/// copy of its attempt being accepted, however long the delay and however much
/// the clocks of the hosts differ. Not thread-safe; not copyable.
class attempt_table {
public:
  explicit attempt_table(attempt_table_options Options = {});
  attempt_table(const attempt_table &) = delete;
  attempt_table &operator=(const attempt_table &) = delete;

  attempt_acceptance accept(const attempt_offer &Offer, time_point Now);

  /// Returns true if the attempt may be sent to the backend server now, and
  /// false if it was fenced or is past its deadline and must not be sent.
  bool markSent(const attempt_id &Attempt, time_point Now);

  /// The attempt was dropped before it was sent: it was not run and never will
  /// be.
  void markRefused(const attempt_id &Attempt);

  void markAnswered(const attempt_id &Attempt, attempt_outcome Outcome);

  fence_reply fence(const fence_request &Request, time_point Now);

  /// Drops closed attempts of executors that no longer send messages. Call
  /// about once per second.
  void tick(time_point Now);

  std::size_t size() const { return Entries.size(); }

private:
  enum class attempt_state { Queued, Sent, Answered, Fenced };

  struct entry {
    attempt_state State = attempt_state::Queued;
    attempt_outcome Outcome;
    sender_time SenderDeadline;
    time_point Deadline{};
  };

  struct executor_record {
    explicit executor_record(duration Window) : Delay(Window) {}

    sender_time LatestSenderTime{INT64_MIN};
    /// Latest deadline of all attempts whose record was dropped.
    sender_time EvictedThrough{INT64_MIN};
    time_point LastMessageAt{};
    delay_estimate Delay;
    std::set<std::pair<sender_time, attempt_id>> ByDeadline;
    std::list<daemon_id>::iterator Position;
  };

  executor_record *recordSenderTime(const daemon_id &Executor,
                                    sender_time Issued, time_point Now);
  executor_record *addExecutor(const daemon_id &Executor);
  bool evictOldestExecutor();
  bool makeRoom();
  bool evictOldestClosed(executor_record &Record);
  void evictExpired(executor_record &Record);
  void evictThrough(executor_record &Record, sender_time Limit);
  bool insert(executor_record &Record, const attempt_id &Attempt, entry Added);
  attempt_acceptance refuse(executor_record &Record, const attempt_offer &Offer,
                            attempt_verdict Verdict);
  attempt_acceptance duplicateAcceptance(const entry &Known) const;
  static bool isClosed(const entry &Entry);

  attempt_table_options Options;
  std::unordered_map<attempt_id, entry> Entries;
  std::unordered_map<daemon_id, executor_record> Executors;
  /// Ordered by last message, least recent first.
  std::list<daemon_id> ByLastMessage;
};

} // namespace bw

#endif
