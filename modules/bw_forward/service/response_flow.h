#ifndef BW_FORWARD_SERVICE_RESPONSE_FLOW_H
#define BW_FORWARD_SERVICE_RESPONSE_FLOW_H

#include "bw_forward/callers/long_response_paths.h"
#include "bw_forward/servers/server_connection.h"
#include "bw_resources/budget/process_budget.h"

namespace bw {

/// Decides when more of a response is read, and finds out which responses are
/// too long to be buffered completely.
class response_flow {
public:
  /// The budget must outlive it.
  explicit response_flow(const process_budget &Budget) : Budget(Budget) {}

  read_permission mayRead(const server_attempt &Attempt) const;
  void received(const server_attempt &Attempt);
  void relayBegins(const server_attempt &Attempt);
  bool expectsLong(const caller_exchange &Exchange) const {
    return LongResponses.expectsLong(Exchange.Head);
  }

private:
  bool isLong(std::uint64_t Size) const {
    return Size > Budget.options().ResponsesPerCaller.value();
  }
  void noteLong(caller_exchange &Exchange);

  const process_budget &Budget;
  long_response_paths LongResponses;
};

} // namespace bw

#endif
