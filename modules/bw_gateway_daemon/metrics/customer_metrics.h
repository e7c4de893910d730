#ifndef BW_GATEWAY_DAEMON_METRICS_CUSTOMER_METRICS_H
#define BW_GATEWAY_DAEMON_METRICS_CUSTOMER_METRICS_H

#include "bw_gateway/engine/gateway_log.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace bw {

/// Metrics of the customers with a limit. Names at most `MaxNamed` customers,
/// those with the most refusals, and counts the others together, so that the
/// number of series is bounded. No counter ever decreases. Thread-safe.
class customer_metrics {
public:
  static constexpr std::size_t MaxNamed = 20;
  /// Label of the customers that are not named.
  static constexpr const char *OthersLabel = "_others";

  void count(const customer_id &Customer, const allowance_decision &Decision);
  /// Returns the series in the Prometheus text format.
  std::string text() const;

private:
  struct counters {
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    /// Share of this host and demand at all hosts, in requests a second.
    double Share = 0;
    double Total = 0;
  };

  /// Returns the counters for a request of the customer.
  counters &countersOf(const customer_id &Customer, bool IsRefused);

  mutable std::mutex Mutex;
  std::map<customer_id, counters> Named;
  counters Others;
  /// Refusals of each customer, whether it is named or not.
  std::unordered_map<customer_id, std::uint64_t> Refusals;
};

/// Creates an observer that counts the decisions on allowances. `Metrics` must
/// outlive it.
gateway_observer makeCustomerMetrics(customer_metrics &Metrics);

} // namespace bw

#endif
