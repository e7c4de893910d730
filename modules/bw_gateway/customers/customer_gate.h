#ifndef BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H
#define BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H

#include "bw_core/ids/time.h"
#include "bw_customers/keys/presented_key.h"
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
};

/// Decides whether a request may be served for the customer that sent it. Not
/// thread-safe.
class customer_gate {
public:
  void
  setConfiguration(std::shared_ptr<const gateway_configuration> Configuration);

  /// Returns whose request it is by the configuration in force, and whether its
  /// key still admits it. Changes nothing.
  customer_decision identify(const presented_key &Key,
                             const gateway_route &Route) const;

  /// Decides on a request that has arrived.
  customer_decision admit(const presented_key &Key, const gateway_route &Route);

private:
  std::shared_ptr<const gateway_configuration> Configuration;
};

} // namespace bw

#endif
