#ifndef BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_POOLS_H
#define BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_POOLS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_customers/allowances/allowance_bucket.h"

#include <unordered_map>

namespace bw {

/// For each customer, the tokens that the hosts of a data centre may still use
/// together. The hosts report what they used, so a pool may be overdrawn. Not
/// thread-safe.
class allowance_pools {
public:
  /// Refills the pool for the time since the last call. A new pool holds the
  /// given part of its depth.
  void fill(const customer_id &Customer, const allowance_share &Share,
            double InitialPart, time_point Now);
  void spend(const customer_id &Customer, double Tokens);
  /// Returns 0 for an unknown customer and for an overdrawn pool.
  double tokens(const customer_id &Customer) const;
  /// Drops the pools that were not filled since then.
  void forgetUnfilledSince(time_point Then);
  void clear() { Pools.clear(); }

private:
  struct pool {
    double Tokens = 0;
    double Depth = 0;
    time_point Filled;
  };

  std::unordered_map<customer_id, pool> Pools;
};

} // namespace bw

#endif
