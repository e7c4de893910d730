#include "bw_operations/entitlement/entitlement_table.h"

using namespace bw;

int bw::refusalStatus(entitlement_outcome Outcome) {
  return Outcome == entitlement_outcome::UnknownRecord ? 404 : 403;
}

std::string_view bw::refusalCode(entitlement_outcome Outcome) {
  switch (Outcome) {
  case entitlement_outcome::UnknownRecord:
    return "unknown_record";
  case entitlement_outcome::OrderClosed:
    return "order_closed";
  default:
    return "not_entitled";
  }
}

entitlement_table::entitlement_table(
    const schema::configuration &Configuration) {
  for (const schema::handback_order &Order : Configuration.orders()) {
    order_entry &Entry = Orders[order_id(Order.name())];
    Entry.IsOpen = Order.state() == schema::open;
    for (const std::string &Caller : Order.fetch_callers())
      Entry.FetchCallers.insert(caller_id(Caller));
    for (const std::string &Caller : Order.confirm_callers())
      Entry.ConfirmCallers.insert(caller_id(Caller));
    for (const schema::held_record &Record : Order.records())
      Entry.Records.emplace(record_id(Record.name()),
                            service_id(Record.service()));
  }
}

entitlement_result entitlement_table::check(const order_id &Order,
                                            const record_id &Record,
                                            const caller_id &Caller,
                                            entitled_action Action) const {
  const auto Found = Orders.find(Order);
  if (Found == Orders.end())
    return {.Outcome = entitlement_outcome::UnknownOrder, .Service = {}};
  const order_entry &Entry = Found->second;
  const auto &Entitled = Action == entitled_action::Fetch
                             ? Entry.FetchCallers
                             : Entry.ConfirmCallers;
  // Before anything else about the order: others must not learn its state.
  if (!Entitled.contains(Caller))
    return {.Outcome = entitlement_outcome::NotEntitled, .Service = {}};
  if (!Entry.IsOpen)
    return {.Outcome = entitlement_outcome::OrderClosed, .Service = {}};
  const auto Held = Entry.Records.find(Record);
  if (Held == Entry.Records.end())
    return {.Outcome = entitlement_outcome::UnknownRecord, .Service = {}};
  return {.Outcome = entitlement_outcome::Allowed, .Service = Held->second};
}
