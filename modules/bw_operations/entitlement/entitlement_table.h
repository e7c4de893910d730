#ifndef BW_OPERATIONS_ENTITLEMENT_ENTITLEMENT_TABLE_H
#define BW_OPERATIONS_ENTITLEMENT_ENTITLEMENT_TABLE_H

#include "bw_core/ids/identifiers.h"
#include "bw_schema/bramleywinch.pb.h"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace bw {

enum class entitled_action { Fetch, Confirm };

enum class entitlement_outcome {
  Allowed,
  UnknownOrder,
  NotEntitled,   ///< The order does not name the caller for this action.
  UnknownRecord, ///< The order does not name the record.
  OrderClosed,
};

struct entitlement_result {
  entitlement_outcome Outcome = entitlement_outcome::NotEntitled;
  /// Service that holds the record; only when allowed.
  service_id Service;
};

/// HTTP status for a refusal. A caller that is not entitled learns nothing
/// about which orders exist: both cases give 403 with the same code.
int refusalStatus(entitlement_outcome Outcome);
/// Stable code for a refusal, as in the JSON error body.
std::string_view refusalCode(entitlement_outcome Outcome);

/// Who may fetch and confirm which records, of one configuration. A look-up
/// takes constant time and allocates only the name of the service. Not changed
/// after construction; thread-safe.
class entitlement_table {
public:
  explicit entitlement_table(const schema::configuration &Configuration);

  entitlement_result check(const order_id &Order, const record_id &Record,
                           const caller_id &Caller,
                           entitled_action Action) const;

private:
  struct order_entry {
    bool IsOpen = false;
    std::unordered_set<caller_id> FetchCallers;
    std::unordered_set<caller_id> ConfirmCallers;
    std::unordered_map<record_id, service_id> Records;
  };

  std::unordered_map<order_id, order_entry> Orders;
};

} // namespace bw

#endif
