#include "bw_customers/allowances/allowance_pools.h"

#include <algorithm>

using namespace bw;

void allowance_pools::fill(const customer_id &Customer,
                           const allowance_share &Share, double InitialPart,
                           time_point Now) {
  const auto [Found, IsNew] = Pools.try_emplace(
      Customer, pool{.Tokens = InitialPart * Share.Depth, .Filled = Now});
  pool &Pool = Found->second;
  const double Seconds =
      std::chrono::duration<double>(Now - Pool.Filled).count();
  Pool.Tokens =
      std::min(Pool.Tokens + Seconds * Share.Rate.value(), Share.Depth);
  Pool.Depth = Share.Depth;
  Pool.Filled = Now;
}

void allowance_pools::spend(const customer_id &Customer, double Tokens) {
  const auto Found = Pools.find(Customer);
  if (Found == Pools.end())
    return;
  // A debt of more than the depth would only keep the customer from using a
  // rate that it does not exceed any more.
  Found->second.Tokens =
      std::max(Found->second.Tokens - Tokens, -Found->second.Depth);
}

double allowance_pools::tokens(const customer_id &Customer) const {
  const auto Found = Pools.find(Customer);
  return Found == Pools.end() ? 0 : std::max(0.0, Found->second.Tokens);
}

void allowance_pools::forgetUnfilledSince(time_point Then) {
  std::erase_if(Pools,
                [&](const auto &Each) { return Each.second.Filled < Then; });
}
