#include "bw_gateway/customers/customer_gate.h"

#include <utility>

using namespace bw;

void customer_gate::setConfiguration(
    std::shared_ptr<const gateway_configuration> Given, time_point Now) {
  Configuration = std::move(Given);
  if (Configuration)
    Allowances.setConfiguration(*Configuration, Now);
}

customer_decision customer_gate::admit(const presented_key &Key,
                                       const gateway_route &Route,
                                       time_point Now) {
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
    const allowance_decision Allowance = Allowances.take(Known->Name, Now);
    if (Allowance.IsLimited)
      Result.Allowance = Allowance;
    Result.HoldsToken = Allowance.IsLimited && Allowance.IsAdmitted;
    if (!Allowance.IsAdmitted) {
      Result.Refusal = refusal_reason::OverAllowance;
      Result.RetryAfter = Allowance.RetryAfter;
    }
  } else if (!Route.IsPublic) {
    Result.Refusal = refusal_reason::Unauthenticated;
  }
  return Result;
}
