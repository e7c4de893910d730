#ifndef BW_CUSTOMERS_ALLOWANCES_HOST_ALLOWANCES_H
#define BW_CUSTOMERS_ALLOWANCES_HOST_ALLOWANCES_H

#include "bw_core/random/random_source.h"
#include "bw_customers/allowances/allowance_bucket.h"
#include "bw_customers/allowances/allowance_shares.h"
#include "bw_customers/allowances/demand_exchange.h"
#include "bw_customers/allowances/demand_meter.h"
#include "bw_customers/directory/customer_directory.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bw {

struct host_allowances_options {
  host_id Self;
  data_centre_id DataCentre;
  allowance_bounds Bounds;
  std::uint64_t Seed = 1;
};

/// Result of asking for a token.
struct allowance_decision {
  bool IsAdmitted = true;
  /// Set if the request must be refused.
  std::optional<duration> RetryAfter = {};
  /// False for a customer without a limit.
  bool IsLimited = false;
  /// Share of this host.
  request_rate Share;
  /// Demand at all hosts as far as this host was told, 0 if not at all.
  request_rate Total;
};

/// The allowances of all customers at one host: measures their demand, takes
/// part in the exchange, and holds a bucket for each customer that asks this
/// host. Not thread-safe.
class host_allowances {
public:
  explicit host_allowances(host_allowances_options Options);
  host_allowances(const host_allowances &) = delete;
  host_allowances &operator=(const host_allowances &) = delete;

  /// Null if the configuration names no customers.
  void setCustomers(std::shared_ptr<const customer_directory> Given,
                    time_point Now);
  void setHosts(std::uint32_t Listed, time_point Now);
  void setAggregator(bool IsAggregator, time_point Now);
  /// Adds time in which the host was suspended and the clock stood still.
  void advanceSuspended(duration Time) { Suspended += Time; }

  /// Takes a token for a new request of the customer.
  allowance_decision take(const customer_id &Customer, time_point Now);
  /// Returns the token of a request that no server ran.
  void giveBack(const customer_id &Customer, time_point Now);

  /// True if some customer has a limit. Hosts then exchange demands.
  bool isActive() const { return HasLimits; }
  /// True while a customer with a limit asks this host, until the end of its
  /// demand is reported; at an aggregator, also while others report demand.
  bool hasDemand(time_point Now) const;

  /// As in `demand_exchange`.
  std::vector<customer_demand> takeReport(report_number Number, time_point Now);
  std::optional<demand_totals> takeTotals(time_point Now);
  demand_summary takeSummary(time_point Now);
  void receiveReport(const host_id &Host, report_number Number,
                     const std::vector<customer_demand> &Demands,
                     time_point Now);
  void receiveSummary(const data_centre_id &DataCentre,
                      const demand_summary &Summary, time_point Now);
  void receiveTotals(report_number Included, const demand_totals &Totals,
                     time_point Now);

private:
  struct record {
    demand_meter Meter;
    allowance_bucket Bucket;
    time_point LastAsked;
    /// Requests admitted since this record was made, and how many of them were
    /// reported.
    double Admitted = 0;
    double ReportedAdmitted = 0;
    /// Admitted requests that did not run and whose tokens were not used again.
    double Returned = 0;
  };

  const customer_allowance *allowanceOf(const customer_id &Customer) const;
  std::optional<confirmed_demand> confirmed(const customer_id &Customer,
                                            time_point Now) const;
  void updateShare(const customer_id &Customer,
                   const customer_allowance &Allowance, record &Record,
                   time_point Now);
  void updateShares(time_point Now);
  void drawFromPools(time_point Now);
  duration retryAfter(record &Record, bool IsConfirmed, time_point Now);
  time_point exchangeTime(time_point Now) const { return Now + Suspended; }

  host_allowances_options Options;
  allowance_shares Shares;
  random_source Random;
  std::shared_ptr<const customer_directory> Customers;
  bool HasLimits = false;
  std::uint32_t Hosts = demand_exchange::AssumedHosts;
  duration Suspended{};
  bool HasReportedDemand = false;
  std::unordered_map<customer_id, record> Records;
  demand_exchange Exchange;
};

} // namespace bw

#endif
