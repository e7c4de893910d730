#ifndef BW_ENGINE_ENTRY_ENTRY_ENGINE_H
#define BW_ENGINE_ENTRY_ENTRY_ENGINE_H

#include "bw_core/random/random_source.h"
#include "bw_delivery/requests/request_delivery.h"
#include "bw_engine/entry/exclusion_table.h"
#include "bw_engine/fleet/attempt_end.h"
#include "bw_engine/fleet/fleet_view.h"
#include "bw_engine/fleet/service_settings.h"
#include "bw_limits/budgets/hedge_policy.h"
#include "bw_limits/budgets/retry_budget.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bw {

/// A caller's request after authentication and route lookup.
struct entry_request {
  request_id Id;
  caller_id Caller;
  service_id Service;
  request_kind Kind;
  bool Repeatable = false;
  bool Long = false;
  time_point Deadline{};
};

/// Forward an attempt to the owner of the instance.
struct forward_attempt {
  entry_request Request;
  forward_request Forward;
  /// The instance is ejected but is kept in use by the floor.
  bool DespiteEjection = false;
  /// The attempt may be queued; otherwise it is refused if no slot is free.
  bool MayWait = true;
};

/// A command for one request that the caller of the engine executes. The engine
/// executes `pick_server` and `wake_at` itself and never returns them.
struct entry_command {
  request_id Request;
  std::variant<forward_attempt, delivery_command> Command;
};
using entry_commands = std::vector<entry_command>;

/// Why the stream of an attempt ended without a final message.
enum class forward_loss {
  NotDelivered, ///< the owner certainly did not receive the attempt
  Silent,       ///< the owner did not respond
  Broken,       ///< the connection failed or was reset
};

struct entry_engine_options {
  std::uint64_t Seed = 1;
  retry_budget_options Retries = {};
  hedge_policy_options Hedges = {};
  /// Limit on attempts per request, including those refused for lack of a slot.
  unsigned MaxAttempts = 8;
};

/// Delivers callers' requests at the entry host: picks instances, forwards
/// attempts to their owners, and decides on retries, hedges, fences and resumed
/// transfers. Single thread.
class entry_engine {
public:
  /// The view must outlive the engine.
  entry_engine(fleet_view &Fleet, const entry_engine_options &Options);

  void configure(std::vector<service_settings> Services);

  entry_commands begin(const entry_request &Request, time_point Now);

  entry_commands answerHead(const attempt_id &Attempt, const answer_head &Head,
                            time_point Now);
  entry_commands dataRelayed(const attempt_id &Attempt, byte_count Bytes,
                             time_point Now);
  void transferPaused(const request_id &Request, bool IsPaused, time_point Now);
  entry_commands answerEnded(const attempt_id &Attempt, const attempt_end &End,
                             time_point Now);
  entry_commands forwardLost(const attempt_id &Attempt, forward_loss Loss,
                             time_point Now);
  entry_commands fenceReplied(const fence_reply &Reply, time_point Now);
  entry_commands callerCancelled(const request_id &Request, time_point Now);

  /// Runs due timers and removes expired exclusions.
  entry_commands tick(time_point Now);
  std::optional<time_point> nextTick() const;

  std::size_t openRequests() const { return Requests.size(); }
  const retry_budget &retries() const { return Retries; }

private:
  struct attempt_record {
    server_pick Pick;
    time_point Started{};
    bool IsReported = false;
  };
  struct request_record {
    entry_request Request;
    request_delivery Delivery;
    std::map<attempt_id, attempt_record> Attempts;
    std::vector<host_id> TriedHosts;
    /// Instances that had no free slot; they may be picked again.
    std::vector<backend_server_id> FullInstances;
    std::optional<time_point> WakeAt;
  };

  request_record *find(const request_id &Request);
  void run(request_record &Record, delivery_commands Commands, time_point Now,
           entry_commands &Out);
  delivery_commands pickServer(request_record &Record, const pick_server &Pick,
                               time_point Now);
  void forward(request_record &Record, const forward_request &Forward,
               time_point Now, entry_commands &Out);
  void setTimer(request_record &Record, std::optional<time_point> At);
  void reportForward(request_record &Record, const attempt_id &Attempt,
                     owner_outcome Outcome, const attempt_end *End,
                     time_point Now);
  entry_commands offerToOtherInstance(request_record &Record,
                                      const attempt_id &Attempt,
                                      time_point Now);
  void recordEjection(const request_record &Record, const server_pick &Pick,
                      const attempt_end &End, time_point Now);
  void applyExclusions(const service_id &Service, const request_kind &Kind);
  entry_commands runAndRelease(request_record &Record,
                               delivery_commands Commands, time_point Now);
  const service_settings *findSettings(const service_id &Service) const;

  fleet_view &Fleet;
  entry_engine_options Options;
  random_source Random;
  retry_budget Retries;
  hedge_policy Hedges;
  exclusion_table Exclusions;
  std::map<service_id, service_settings> Services;
  std::unordered_map<request_id, request_record> Requests;
  std::multimap<time_point, request_id> Timers;
  time_point NextExpiry{};
  /// The next attempt takes no token from the retry budget, because the last
  /// one was refused for lack of a free slot.
  bool BypassRetryBudget = false;
  /// Result of the last pick; used when the delivery forwards the attempt.
  std::optional<server_pick> LastPick;
};

} // namespace bw

#endif
