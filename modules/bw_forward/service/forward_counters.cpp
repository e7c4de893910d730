#include "bw_forward/service/forward_counters.h"

using namespace bw;

namespace {

void publishAmount(budget_gauge &Gauge, const budget_amount &Amount) {
  Gauge.Used = Amount.Used;
  Gauge.Peak = Amount.Peak;
}

} // namespace

void forward_counters::publish(const budget_usage &Usage) {
  publishAmount(CallerConnectionsUsed, Usage.CallerConnections);
  publishAmount(ServerConnectionsUsed, Usage.ServerConnections);
  publishAmount(CallerBytes, Usage.CallerBytes);
  publishAmount(ServerBytes, Usage.ServerBytes);
  publishAmount(OpenRequests, Usage.OpenRequests);
}
