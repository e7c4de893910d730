#ifndef BW_GATEWAY_HOSTS_FETCH_LIMITS_H
#define BW_GATEWAY_HOSTS_FETCH_LIMITS_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

namespace bw {

/// Limits of a fetch from another host.
struct fetch_limits {
  duration Connect = std::chrono::milliseconds(150);
  /// Longest time without a byte of the response. A body may take longer over a
  /// slow or busy link, so the whole fetch has no such limit.
  duration Idle = std::chrono::milliseconds(400);
  /// For the whole fetch, after which another host may have a newer item.
  duration Total = std::chrono::seconds(3);
  /// Several times the list of the servers or the configuration at the size
  /// that the system is designed for.
  byte_count Body = mebibytes(8);
};

} // namespace bw

#endif
