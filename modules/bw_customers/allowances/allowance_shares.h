#ifndef BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_SHARES_H
#define BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_SHARES_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_customers/allowances/allowance_bucket.h"
#include "bw_customers/directory/customer_directory.h"

#include <cstdint>
#include <optional>

namespace bw {

/// In any `Window`, all hosts together may admit at most
/// (rate x Window + burst) x (1 + Overshoot) + Slack requests of a customer.
struct allowance_bounds {
  duration Window = std::chrono::seconds(5);
  ratio Overshoot{0.1};
  double Slack = 20;
};

/// Demand of one customer according to a total that includes a recent report
/// of this host.
struct confirmed_demand {
  /// Demand of this host in the report that the total includes.
  request_rate Own;
  /// Demand at all hosts, or less than a quarter of the customer's rate.
  request_rate Total;
  /// Part of the rate that the hosts on this side of a partition may use.
  ratio Factor{1};
  /// Tokens that each host of the data centre may have.
  double Pooled = 0;
  /// As in `customer_standing`.
  bool IsInside = false;
};

/// Computes the share of this host in the allowances of customers. Holds no
/// state but its options.
class allowance_shares {
public:
  explicit allowance_shares(allowance_bounds Bounds) : Bounds(Bounds) {}

  /// Returns the share of one of `Hosts` listed hosts. A host without confirmed
  /// demand gets the small share of `unconfirmed`.
  allowance_share share(const customer_allowance &Allowance,
                        std::uint32_t Hosts,
                        const std::optional<confirmed_demand> &Demand) const;
  allowance_share unconfirmed(const customer_allowance &Allowance,
                              std::uint32_t Hosts) const;

  /// Tokens of a customer that a data centre may use beside those of the single
  /// hosts, if it may use `Part` of the rate for its demand and has `LocalPart`
  /// of the hosts.
  allowance_share poolShare(const customer_allowance &Allowance, ratio Part,
                            ratio LocalPart) const;
  /// Tokens that each of the hosts of a data centre may take from its pool. The
  /// pool must last until the aggregator knows what they took.
  static double pooledTokens(double Pool, request_rate Rate,
                             std::uint32_t LocalHosts);

  /// True if the demand at all hosts is inside the allowance, so that requests
  /// need no token. `Recent` is the demand at this host now.
  bool isInside(const customer_allowance &Allowance,
                const std::optional<confirmed_demand> &Demand,
                request_rate Recent) const;

  /// Demand at all hosts up to which it is not divided into shares.
  request_rate insideRate(const customer_allowance &Allowance) const;
  /// Requests that all hosts may admit in a window while demand is not divided
  /// into shares.
  double insideWindow(const customer_allowance &Allowance) const;

  /// Part of each rate that hosts may use which hear from this fraction of the
  /// listed hosts, themselves included. The parts of all sides of a partition
  /// add up to at most 1 plus half the overshoot.
  ratio sideFactor(ratio Heard) const;

  /// Totals up to this part of the rate need not be told.
  static request_rate quietTotal(request_rate Rate) {
    return request_rate(Rate.value() / 4);
  }

private:
  /// Requests that may be admitted in a window beyond rate and burst.
  double excess(const customer_allowance &Allowance) const;

  allowance_bounds Bounds;
};

} // namespace bw

#endif
