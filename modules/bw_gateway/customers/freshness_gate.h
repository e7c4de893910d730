#ifndef BW_GATEWAY_CUSTOMERS_FRESHNESS_GATE_H
#define BW_GATEWAY_CUSTOMERS_FRESHNESS_GATE_H

#include "bw_core/ids/time.h"
#include "bw_customers/freshness/configuration_freshness.h"
#include "bw_gateway/messages/gateway_events.h"

#include <optional>

namespace bw {

/// Requests with keys are served again, or no longer.
struct freshness_change {
  bool IsFresh = false;
  config_version Version;
  /// Age of the latest proof, if there is one.
  std::optional<duration> ProofAge = {};
};

/// The engine's view of whether its configuration is fresh. Translates the
/// engine's time into boot time. Not thread-safe.
class freshness_gate {
public:
  explicit freshness_gate(configuration_freshness_options Options)
      : Freshness(Options) {}

  /// A version came into force; the check applies if it names customers.
  void setVersion(config_version Version, bool NamesCustomers, time_point Now);
  void handle(const configuration_verified &Event);
  void handle(const newer_version_known &Event);
  void handle(const time_suspended &Event);

  /// True if requests with keys may be served.
  bool isFresh(time_point Now) const;
  /// True if a version may be in force that allows what the own version does
  /// not: a newer one is known, or the own one is not fresh.
  bool mayLackVersion(time_point Now) const;
  /// A request with a key must not be sent from this time on; nothing if the
  /// check is off.
  std::optional<boot_time_point> sendBefore() const;

  /// When to call `takeChange`, as the configuration is no longer fresh.
  time_point expiry() const;
  /// Returns the change since the last call, if there is one.
  std::optional<freshness_change> takeChange(time_point Now);

private:
  boot_time_point bootTime(time_point Now) const {
    return boot_time_point(Now.time_since_epoch() + Suspended);
  }

  configuration_freshness Freshness;
  bool NamesCustomers = false;
  /// Time that boot time is ahead of the engine's time.
  duration Suspended{};
  bool WasFresh = false;
};

} // namespace bw

#endif
