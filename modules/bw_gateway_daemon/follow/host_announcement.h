#ifndef BW_GATEWAY_DAEMON_FOLLOW_HOST_ANNOUNCEMENT_H
#define BW_GATEWAY_DAEMON_FOLLOW_HOST_ANNOUNCEMENT_H

#include "bw_gateway_daemon/follow/platform_source.h"

#include <functional>

namespace bw {

/// Says whether an answer of this era of the store may be used.
using era_check = std::function<bool(store_era)>;

/// Writes the entry of this host, or replaces one that differs. Returns false
/// on failure, also if the entry may have been written: the caller reads the
/// host list before it tries again.
bool announceHost(const platform_source &Source, const gateway_host &Self,
                  const era_check &IsUsable);

} // namespace bw

#endif
