#ifndef BW_FORWARD_SERVICE_FORWARD_COUNTERS_H
#define BW_FORWARD_SERVICE_FORWARD_COUNTERS_H

#include "bw_http/server/closed_callers.h"
#include "bw_resources/budget/process_budget.h"

#include <atomic>
#include <cstdint>

namespace bw {

/// One budget of the process as last published, within a second.
struct budget_gauge {
  std::atomic<std::uint64_t> Used = 0;
  std::atomic<std::uint64_t> Peak = 0;
};

/// Counters of the forward service. Thread-safe.
struct forward_counters {
  std::atomic<std::uint64_t> CallerConnections = 0;
  std::atomic<std::uint64_t> ServerConnections = 0;
  std::atomic<std::uint64_t> Requests = 0;
  std::atomic<std::uint64_t> Relayed = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> Aborted = 0;
  std::atomic<std::uint64_t> CallersDisconnected = 0;
  /// Requests that were refused because a budget is used up.
  std::atomic<std::uint64_t> RefusedByBudget = 0;
  /// Attempts for which no server connection was left.
  std::atomic<std::uint64_t> UnconnectedAttempts = 0;
  closed_callers ClosedCallers;
  budget_gauge CallerConnectionsUsed;
  budget_gauge ServerConnectionsUsed;
  budget_gauge CallerBytes;
  budget_gauge ServerBytes;
  budget_gauge OpenRequests;

  void publish(const budget_usage &Usage);
};

} // namespace bw

#endif
