#ifndef BW_FORWARD_CALLERS_CALLER_REGISTRY_H
#define BW_FORWARD_CALLERS_CALLER_REGISTRY_H

#include "bw_forward/callers/caller_connection.h"
#include "bw_resources/budget/process_budget.h"

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bw {

/// The open connections of callers. Closes those that the budget names.
class caller_registry {
public:
  using connection_pointer = std::shared_ptr<caller_connection>;

  /// The budget must outlive the registry.
  explicit caller_registry(process_budget &Budget) : Budget(Budget) {}

  /// Closes the connection that is idle for longest if there is no room for
  /// another one. False if none is idle.
  bool makeRoom();
  void add(const connection_pointer &Connection);
  void remove(const caller_connection &Connection);
  std::size_t size() const { return Callers.size(); }

  /// Resets connections until the bytes held are under their limit.
  void resetOverLimit(time_point Now);
  void checkTimeouts(time_point Now);
  void closeWhenIdle();

private:
  /// A copy, because a closed connection leaves the registry.
  std::vector<connection_pointer> all() const;

  process_budget &Budget;
  std::unordered_map<connection_number, connection_pointer> Callers;
};

} // namespace bw

#endif
