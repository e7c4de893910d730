#ifndef BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H
#define BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H

#include "bw_core/ids/time.h"
#include "bw_customers/keys/presented_key.h"
#include "bw_gateway/customers/customer_allowances.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_configuration.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bw {

/// Result of the admission of a request as one of a customer.
struct customer_decision {
  /// Set if the request is refused.
  std::optional<refusal_reason> Refusal = {};
  /// When the caller may retry, if that follows from the refusal.
  std::optional<duration> RetryAfter = {};
  /// What servers learn of the customer; nothing if the configuration names no
  /// customers.
  std::optional<forwarded_customer> Customer = {};
  /// Priority of the request: the customer's own, or that of the route.
  std::uint32_t Priority = 0;
  /// The request holds a token of the customer's allowance.
  bool HoldsToken = false;
  /// For a customer with a limit.
  std::optional<allowance_decision> Allowance = {};
};

/// Decides whether a request may be served for the customer that sent it. Not
/// thread-safe.
class customer_gate {
public:
  explicit customer_gate(const customer_allowances_options &Options = {})
      : Allowances(Options) {}

  void
  setConfiguration(std::shared_ptr<const gateway_configuration> Configuration,
                   time_point Now);

  /// Decides on a request that has arrived.
  customer_decision admit(const presented_key &Key, const gateway_route &Route,
                          time_point Now);

  customer_allowances &allowances() { return Allowances; }
  const customer_allowances &allowances() const { return Allowances; }

private:
  customer_allowances Allowances;
  std::shared_ptr<const gateway_configuration> Configuration;
};

} // namespace bw

#endif
