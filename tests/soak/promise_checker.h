#ifndef TESTS_SOAK_PROMISE_CHECKER_H
#define TESTS_SOAK_PROMISE_CHECKER_H

#include "bw_emulator/servers/emulated_server.h"
#include "tests/soak/allowance_ledger.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bw::soak {

/// The threads of the run note a time up to this much late.
inline constexpr duration Late = std::chrono::milliseconds(100);

/// Status of a request whose customer is over its allowance.
inline constexpr int OverAllowance = 429;

/// Bounds of the platform's settings and pages.
struct promise_bounds {
  duration Drain = std::chrono::seconds(2);
  duration Configuration = std::chrono::seconds(2);
  duration Rollback = std::chrono::milliseconds(250);
  /// Bounds hold after so long without a disturbance.
  duration StableWindow = std::chrono::seconds(3);
  duration LossSlack = std::chrono::milliseconds(200);
  duration Grace = std::chrono::seconds(6);
  double RetryRatio = 0.2;
  double RetrySlack = 56;
  duration BudgetWindow = std::chrono::seconds(10);
  double FloorShare = 0.7;
  duration FloorWindow = std::chrono::seconds(2);
  double RecoveredShare = 0.25;
  /// No withdrawn key runs later, at any host. Set if the settings of the hosts
  /// have `bounds.revoke_fail_closed`.
  std::optional<duration> Revocation = {};
  allowance_bounds Allowances = {};
  /// Field in which servers get a customer's name.
  std::string CustomerField = relay_headers{}.Customer;
};

/// A request as its caller sends it.
struct asked_request {
  request_label Label;
  host_id Host;
  std::string Method;
  std::string Target;
  std::string Body;
  /// Key that the caller presents; empty: none.
  std::string Key;
  /// Needs no key.
  bool IsPublic = false;
  bool IsRepeatable = false;
  /// Services that the configurations allow.
  std::set<service_id> Services;
  /// Version that brought its route; 0: the first one did.
  config_version Since;
  time_point At{};
};

/// What its caller saw of the answer.
struct seen_answer {
  request_label Label;
  /// 0: none.
  int Status = 0;
  /// The whole answer came. Otherwise the connection ended.
  bool IsComplete = false;
  /// The caller's own deadline ended it.
  bool IsGivenUp = false;
  std::string Signature;
  std::string EchoedLabel;
  std::string Body;
  time_point At{};
};

struct violation {
  std::string Promise;
  std::string Text;
  request_label Label;
  time_point At{};
};

/// What was counted about allowances.
struct allowance_counts {
  /// Answers with 429.
  std::size_t Refused = 0;
  /// Those of them whose customer was inside its allowance.
  std::size_t RefusedInside = 0;
  /// Most runs in any window, as a share of what its bound allows.
  double BusiestWindow = 0;
  /// Windows that were checked against a lowered limit.
  std::size_t LoweredWindows = 0;
};

/// Holds what callers and backend servers see against the promises, while a
/// run goes on. Thread-safe.
class promise_checker {
public:
  explicit promise_checker(promise_bounds Bounds = {})
      : Bounds(Bounds), Ledger(Bounds.Allowances, Late) {}

  void asked(const asked_request &Request);
  void arrived(const server_arrival &Arrival);
  void answered(const seen_answer &Answer);

  /// A process of the host began; what it had seen is forgotten.
  void hostStarted(const host_id &Host, time_point At);
  /// Planned stop.
  void hostStops(const host_id &Host, time_point At);
  /// Unplanned; the second time may lie ahead.
  void hostDisturbed(const host_id &Host, time_point From, time_point To);
  void storeDisturbed(time_point From, time_point To);
  void serverListed(const backend_server_id &Server, const service_id &Service,
                    time_point At);
  void serverDisturbed(const backend_server_id &Server, time_point From,
                       time_point To);
  /// The store has acknowledged that it leaves or is gone.
  void serverLeaves(const backend_server_id &Server, time_point At);
  void versionAcknowledged(config_version Version, time_point At);

  /// The store has acknowledged the first version with the key; the zero time
  /// if all versions have it.
  void keyWritten(const std::string &Key, const customer_id &Customer,
                  time_point At);
  /// The store has acknowledged a version without the key.
  void keyWithdrawn(const std::string &Key, time_point At);
  /// The store has acknowledged the version with this allowance.
  void allowanceWritten(const customer_id &Customer,
                        const customer_allowance &Allowance,
                        config_version Version, time_point At);

  /// Checks what holds over windows; about twice a second.
  void checkWindows(time_point Now);
  /// Requests asked between the two times must mostly be served.
  void checkRecovery(time_point From, time_point To);
  /// A fault that the run itself notices.
  void report(const std::string &Promise, const std::string &Text,
              time_point At);

  std::vector<violation> violations() const;
  std::size_t requests() const;
  std::size_t served() const;
  /// Requests that were answered with 401.
  std::size_t unauthenticated() const;
  allowance_counts allowances() const;

private:
  struct interval {
    time_point From;
    time_point To;
  };
  struct request_record {
    asked_request Asked;
    time_point HostStart{};
    std::vector<backend_server_id> Arrivals;
    std::size_t Runs = 0;
    std::optional<seen_answer> Answer;
  };
  struct host_record {
    time_point Started{};
    std::optional<time_point> Stops;
    std::vector<interval> Disturbed;
    /// Versions that this process was seen to have, with the time.
    std::map<config_version, time_point> Seen;
  };
  struct server_record {
    service_id Service;
    time_point Listed{};
    std::optional<time_point> Leaves;
    std::vector<interval> Disturbed;
  };
  struct key_record {
    customer_id Customer;
    time_point Written{};
    std::optional<time_point> Withdrawn = {};
  };
  struct arrival_record {
    time_point At;
    service_id Service;
    backend_server_id Server;
    bool IsFirst = true;
  };

  static bool overlaps(const std::vector<interval> &Intervals, time_point From,
                       time_point To);
  bool isInTouch(const host_id &Host, time_point At) const;
  bool isStoreStable(time_point At) const;
  void add(const std::string &Promise, const std::string &Text,
           const request_label &Label, time_point At);
  void checkArrival(const server_arrival &Arrival, request_record &Record);
  void checkCustomer(const server_arrival &Arrival, const asked_request &Asked);
  void checkUnauthenticated(const seen_answer &Answer,
                            const request_record &Record);
  const customer_id *customerOf(const asked_request &Asked) const;
  void countOverAllowance(const seen_answer &Answer,
                          const request_record &Record);
  bool hasVersion(const host_id &Host, config_version Version,
                  time_point Now) const;
  void checkQuota(time_point Now);
  static bool isOverAllowance(const request_record &Record);
  void checkContent(const seen_answer &Answer, const request_record &Record);
  void checkVersion(const seen_answer &Answer, const request_record &Record);
  void checkLoss(const seen_answer &Answer, const request_record &Record);
  void checkBudget(time_point Now);
  void checkFloor(time_point Now);
  std::size_t requestsFor(const service_id &Service, time_point From,
                          time_point To) const;

  promise_bounds Bounds;
  mutable std::mutex Mutex;
  std::map<request_label, request_record> Requests;
  std::map<host_id, host_record> Hosts;
  std::map<backend_server_id, server_record> Servers;
  std::map<config_version, time_point> Versions;
  std::map<std::string, key_record> Keys;
  std::vector<interval> StoreDisturbed;
  std::deque<arrival_record> Arrivals;
  std::vector<violation> Violations;
  std::size_t Served = 0;
  std::size_t UnauthenticatedCount = 0;
  allowance_ledger Ledger;
  allowance_counts Allowances;
};

} // namespace bw::soak

#endif
