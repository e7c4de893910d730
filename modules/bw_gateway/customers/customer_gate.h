#ifndef BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H
#define BW_GATEWAY_CUSTOMERS_CUSTOMER_GATE_H

#include "bw_core/ids/time.h"
#include "bw_customers/keys/presented_key.h"
#include "bw_gateway/customers/customer_allowances.h"
#include "bw_gateway/customers/freshness_gate.h"
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
  explicit customer_gate(configuration_freshness_options Freshness = {},
                         const customer_allowances_options &Allowances = {})
      : Allowances(Allowances), Freshness(Freshness) {}

  void
  setConfiguration(std::shared_ptr<const gateway_configuration> Configuration,
                   time_point Now);

  void handle(const time_suspended &Event);

  /// Decides on a request that has arrived.
  customer_decision admit(const presented_key &Key, const gateway_route &Route,
                          time_point Now);
  /// Looks the key of an admitted request up again before an attempt, and
  /// updates the customer that the server learns of. Returns why the request
  /// must not be sent, if it must not.
  std::optional<refusal_reason>
  checkAttempt(const presented_key &Key, const gateway_route &Route,
               std::optional<forwarded_customer> &Customer,
               time_point Now) const;
  /// Until when an attempt for this customer may be sent.
  std::optional<boot_time_point>
  sendBefore(const std::optional<forwarded_customer> &Customer) const;
  /// Returns why a request without a route is refused.
  refusal_reason unknownRouteRefusal(time_point Now) const;

  freshness_gate &freshness() { return Freshness; }
  const freshness_gate &freshness() const { return Freshness; }
  customer_allowances &allowances() { return Allowances; }
  const customer_allowances &allowances() const { return Allowances; }

private:
  /// Returns the customer with the key, or null.
  const customer *find(const presented_key &Key, time_point Now) const;
  refusal_reason unknownKeyRefusal(time_point Now) const;

  std::shared_ptr<const gateway_configuration> Configuration;
  customer_allowances Allowances;
  freshness_gate Freshness;
  /// Time for which the host was suspended, as far as it is known.
  duration Suspended{};
};

} // namespace bw

#endif
