#include "bw_gateway/customers/customer_gate.h"

#include <utility>

using namespace bw;

void customer_gate::setConfiguration(
    std::shared_ptr<const gateway_configuration> Given) {
  Configuration = std::move(Given);
}

customer_decision customer_gate::admit(const presented_key &Key,
                                       const gateway_route &Route) {
  return identify(Key, Route);
}

customer_decision customer_gate::identify(const presented_key &Key,
                                          const gateway_route &Route) const {
  customer_decision Result{.Priority = Route.Priority};
  if (!Configuration || !Configuration->Customers)
    return Result;
  Result.Customer.emplace();
  const customer *Known = Key.Presence == key_presence::Present
                              ? Configuration->Customers->find(Key.Digest)
                              : nullptr;
  if (Known != nullptr) {
    Result.Customer->Name = Known->Name;
    Result.Priority = Known->Priority.value_or(Route.Priority);
  } else if (!Route.IsPublic) {
    Result.Refusal = refusal_reason::Unauthenticated;
  }
  return Result;
}
