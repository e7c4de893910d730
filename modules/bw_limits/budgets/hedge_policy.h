#ifndef BW_LIMITS_BUDGETS_HEDGE_POLICY_H
#define BW_LIMITS_BUDGETS_HEDGE_POLICY_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_limits/budgets/retry_budget.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bw {

struct hedge_policy_options {
  /// A request is hedged once its age exceeds this quantile of its kind's
  /// latency.
  ratio Quantile{0.95};
  /// Latencies of a kind needed before its quantile is used.
  std::uint32_t MinimumSamples = 50;
  duration MinimumDelay = std::chrono::milliseconds(5);
  /// Minimum time left until the deadline for a hedge to be sent.
  duration MinimumRemaining = std::chrono::milliseconds(10);
  /// Maximum number of kinds (pairs of service and request kind) tracked; other
  /// kinds are not hedged.
  std::size_t MaxKinds = 4096;
};

struct hedge_request {
  service_id Service;
  request_kind Kind;
  bool Repeatable = false;
  bool Long = false;
  time_point Started;
  time_point Deadline = time_point::max();
};

/// Decides when a second attempt of a slow request starts. Only short,
/// repeatable requests are hedged, after a quantile of their kind's latency,
/// and each hedge takes a token of the retry budget.
class hedge_policy {
public:
  /// The budget must outlive the policy.
  hedge_policy(retry_budget &Budget, hedge_policy_options Options = {});

  void record(const service_id &Service, const request_kind &Kind,
              duration Latency);

  /// Returns when to call `tryHedge`, or nothing if the request cannot be
  /// hedged.
  std::optional<time_point> hedgeAt(const hedge_request &Request) const;

  /// Returns true if the request may be hedged now. If so, a token of the
  /// budget has been taken.
  bool tryHedge(const hedge_request &Request, time_point Now);

  std::size_t kinds() const { return Kinds.size(); }

private:
  struct kind_entry {
    /// Quantile in nanoseconds, estimated by stochastic approximation.
    double Estimate = 0;
    std::uint32_t Samples = 0;
  };

  static std::uint64_t keyOf(const service_id &Service,
                             const request_kind &Kind);

  retry_budget &Budget;
  hedge_policy_options Options;
  std::unordered_map<std::uint64_t, kind_entry> Kinds;
};

} // namespace bw

#endif
