#include "bw_gateway/customers/freshness_gate.h"

#include <algorithm>

using namespace bw;

void freshness_gate::setVersion(config_version Version, bool GivenNames,
                                time_point Now) {
  Freshness.setVersion(Version, bootTime(Now));
  NamesCustomers = GivenNames;
}

void freshness_gate::handle(const configuration_verified &Event) {
  Freshness.recordProof(Event.Version, Event.CurrentAt);
}

void freshness_gate::handle(const newer_version_known &Event) {
  Freshness.recordReportedVersion(Event.Version);
}

// The two clocks are read one after the other, so a later difference can seem
// smaller.
void freshness_gate::handle(const time_suspended &Event) {
  Suspended = std::max(Suspended, Event.Total);
}

bool freshness_gate::isFresh(time_point Now) const {
  return !NamesCustomers || Freshness.isFresh(bootTime(Now));
}

bool freshness_gate::mayLackVersion(time_point Now) const {
  return Freshness.isNewerVersionKnown() || !isFresh(Now);
}

std::optional<boot_time_point> freshness_gate::sendBefore() const {
  return Freshness.sendBefore();
}

time_point freshness_gate::expiry() const {
  const auto Before = Freshness.sendBefore();
  if (!Before || !NamesCustomers || !WasFresh)
    return time_point::max();
  return time_point(Before->time_since_epoch() - Suspended);
}

std::optional<freshness_change> freshness_gate::takeChange(time_point Now) {
  if (!Freshness.isOn() || !NamesCustomers || isFresh(Now) == WasFresh)
    return std::nullopt;
  WasFresh = !WasFresh;
  return freshness_change{.IsFresh = WasFresh,
                          .Version = Freshness.version(),
                          .ProofAge = Freshness.proofAge(bootTime(Now))};
}
