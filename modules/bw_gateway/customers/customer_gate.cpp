#include "bw_gateway/customers/customer_gate.h"

#include <utility>

using namespace bw;

void customer_gate::setConfiguration(
    std::shared_ptr<const gateway_configuration> Given, time_point Now) {
  Configuration = std::move(Given);
  if (!Configuration)
    return;
  Freshness.setVersion(Configuration->Version,
                       Configuration->Customers != nullptr, Now);
  Allowances.setConfiguration(*Configuration, Now);
}

void customer_gate::handle(const time_suspended &Event) {
  Freshness.handle(Event);
  if (Event.Total <= Suspended)
    return;
  Allowances.advanceSuspended(Event.Total - Suspended);
  Suspended = Event.Total;
}

// The key may have been withdrawn in a version that this host does not know, so
// no key is known while the configuration is not fresh.
const customer *customer_gate::find(const presented_key &Key,
                                    time_point Now) const {
  if (Key.Presence != key_presence::Present || !Freshness.isFresh(Now))
    return nullptr;
  return Configuration->Customers->find(Key.Digest);
}

// A 401 ends the request for good, so it is sent only if no version that may be
// in force knows the key.
refusal_reason customer_gate::unknownKeyRefusal(time_point Now) const {
  return Freshness.mayLackVersion(Now) ? refusal_reason::ConfigurationStale
                                       : refusal_reason::Unauthenticated;
}

refusal_reason customer_gate::unknownRouteRefusal(time_point Now) const {
  return Freshness.mayLackVersion(Now) ? refusal_reason::ConfigurationStale
                                       : refusal_reason::NoRoute;
}

customer_decision customer_gate::admit(const presented_key &Key,
                                       const gateway_route &Route,
                                       time_point Now) {
  customer_decision Result{.Priority = Route.Priority};
  if (!Configuration || !Configuration->Customers)
    return Result;
  Result.Customer.emplace();
  if (const customer *Known = find(Key, Now)) {
    Result.Customer->Name = Known->Name;
    Result.Priority = Known->Priority.value_or(Route.Priority);
    const allowance_decision Allowance = Allowances.take(Known->Name, Now);
    if (Allowance.IsLimited)
      Result.Allowance = Allowance;
    Result.HoldsToken = Allowance.IsLimited && Allowance.IsAdmitted;
    if (!Allowance.IsAdmitted) {
      Result.Refusal = refusal_reason::OverAllowance;
      Result.RetryAfter = Allowance.RetryAfter;
    }
  } else if (!Route.IsPublic) {
    Result.Refusal = unknownKeyRefusal(Now);
  }
  return Result;
}

std::optional<refusal_reason> customer_gate::checkAttempt(
    const presented_key &Key, const gateway_route &Route,
    std::optional<forwarded_customer> &Customer, time_point Now) const {
  // A request that was admitted for a customer keeps its name if the version in
  // force no longer names any: its key must still not reach a server.
  if (!Configuration || !Configuration->Customers)
    return std::nullopt;
  const customer *Known = find(Key, Now);
  if (Known == nullptr && !Route.IsPublic)
    return unknownKeyRefusal(Now);
  Customer = forwarded_customer{.Name = Known ? Known->Name : customer_id()};
  return std::nullopt;
}

std::optional<boot_time_point> customer_gate::sendBefore(
    const std::optional<forwarded_customer> &Customer) const {
  if (!Customer || Customer->Name == customer_id())
    return std::nullopt;
  return Freshness.sendBefore();
}
