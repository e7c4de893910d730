#ifndef BW_DAEMON_CATALOGUE_SERVICE_CATALOGUE_H
#define BW_DAEMON_CATALOGUE_SERVICE_CATALOGUE_H

#include "bw_engine/fleet/service_settings.h"
#include "bw_limits/callers/caller_limiter.h"
#include "bw_operations/credentials/credential_check.h"
#include "bw_operations/entitlement/entitlement_table.h"
#include "bw_routing/routes/route_table.h"
#include "bw_schema/bramleywinch.pb.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bw {

/// One configuration version in the form that requests are decided by. Not
/// changed after construction; shared between threads.
struct service_catalogue {
  /// Kind of the requests that fetch records of an order.
  static const request_kind RecordKind;

  explicit service_catalogue(schema::configuration Configuration);

  schema::configuration Source;
  config_version Version;
  route_table Routes;
  /// Routes whose submissions need a ticket.
  std::unordered_set<route_id> TicketOnly;
  std::vector<service_settings> Services;
  credential_check Callers;
  entitlement_table Entitlements;
  std::unordered_map<caller_id, caller_limit> Limits;
};

using catalogue_pointer = std::shared_ptr<const service_catalogue>;

} // namespace bw

#endif
