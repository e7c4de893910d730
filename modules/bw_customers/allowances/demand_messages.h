#ifndef BW_CUSTOMERS_ALLOWANCES_DEMAND_MESSAGES_H
#define BW_CUSTOMERS_ALLOWANCES_DEMAND_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <vector>

namespace bw {

/// Requests a second that a customer asks one host for.
struct customer_demand {
  customer_id Customer;
  request_rate Asked;
  /// Demand behind the share that the host still uses, if the host has heard no
  /// newer total for a while. 0 otherwise.
  request_rate Held = request_rate(0);
  /// Requests that the host has admitted since it started to count.
  double Admitted = 0;

  friend bool operator==(const customer_demand &,
                         const customer_demand &) = default;
};

/// Requests a second that a customer asks several hosts for.
struct customer_total {
  customer_id Customer;
  request_rate Rate;
  /// Part of `Rate` that comes from hosts which are silent or hear no totals.
  /// They keep the shares that they had.
  request_rate Silent = request_rate(0);
  /// Requests that the hosts have admitted in the last window.
  double Admitted = 0;

  friend bool operator==(const customer_total &,
                         const customer_total &) = default;
};

/// Demand in one data centre, for the aggregators of others.
struct demand_summary {
  /// Hosts of the data centre from which its aggregator has heard, and itself.
  std::uint32_t Heard = 0;
  /// True if the sender has counted admitted requests for a whole window.
  bool CountsAdmitted = false;
  std::vector<customer_total> Customers;

  friend bool operator==(const demand_summary &,
                         const demand_summary &) = default;
};

/// What the hosts of a data centre are told of a customer.
struct customer_standing {
  customer_id Customer;
  /// Demand by which the shares of hosts are computed.
  request_rate Total;
  /// Tokens that each host of the data centre may have.
  double Pooled = 0;
  /// True if the requests of the last window leave room for those of the next
  /// moments, so that the demand need not be divided into shares.
  bool IsInside = false;

  friend bool operator==(const customer_standing &,
                         const customer_standing &) = default;
};

/// Demand at all hosts that an aggregator knows of, for the hosts of its data
/// centre.
struct demand_totals {
  /// Part of each rate that the hosts which this aggregator can reach may use.
  ratio Factor{1};
  /// Part of the allowances of customers that are not listed which this data
  /// centre may use, and the number of its hosts that the aggregator hears.
  ratio Part{0};
  std::uint32_t LocalHosts = 1;
  /// False if there was no space for all customers. A customer that is missing
  /// from a complete list asks for at most a quarter of its rate.
  bool IsComplete = true;
  std::vector<customer_standing> Customers;

  friend bool operator==(const demand_totals &,
                         const demand_totals &) = default;
};

} // namespace bw

#endif
