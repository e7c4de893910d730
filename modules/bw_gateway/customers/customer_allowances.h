#ifndef BW_GATEWAY_CUSTOMERS_CUSTOMER_ALLOWANCES_H
#define BW_GATEWAY_CUSTOMERS_CUSTOMER_ALLOWANCES_H

#include "bw_customers/allowances/host_allowances.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_gateway/messages/gateway_events.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bw {

struct customer_allowances_options {
  host_id Self;
  data_centre_id DataCentre;
  /// Nothing if allowances are not enforced.
  std::optional<allowance_bounds> Bounds = {};
  std::uint64_t Seed = 1;
};

/// The allowances of customers at this host, and the demand in the messages
/// between hosts. Adds to messages only where the configuration names a
/// customer with a limit. Not thread-safe.
class customer_allowances {
public:
  explicit customer_allowances(const customer_allowances_options &Options);

  void setConfiguration(const gateway_configuration &Configuration,
                        time_point Now);
  void setHosts(const hosts_counted &Hosts, time_point Now);
  void setDuty(const exchange_duty &Duty, time_point Now);
  /// Adds time in which the host was suspended and the clock stood still.
  void advanceSuspended(duration Time);

  /// Takes a token for a new request of the customer.
  allowance_decision take(const customer_id &Customer, time_point Now);
  /// Returns the token of a request that no server ran.
  void giveBack(const customer_id &Customer, time_point Now);

  /// True if this host must send reports although it has no load.
  bool isActive() const { return Allowances && Allowances->isActive(); }
  /// True if it must send them as often as under load.
  bool hasDemand(time_point Now) const;

  void addTo(peer_reported &Report, time_point Now);
  void addTo(load_summary &Summary, time_point Now);
  void addTo(load_aggregate &Aggregate, time_point Now);
  void receive(const peer_reported &Report, time_point Now);
  void receive(const load_summary &Summary, time_point Now);
  void receive(const load_aggregate &Aggregate, time_point Now);

private:
  host_id Self;
  std::unique_ptr<host_allowances> Allowances;
};

} // namespace bw

#endif
