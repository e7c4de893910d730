#ifndef BW_GATEWAY_HOSTS_FETCH_LIMITS_H
#define BW_GATEWAY_HOSTS_FETCH_LIMITS_H

#include "bw_core/ids/time.h"

namespace bw {

/// Time limits of a fetch from another host.
struct fetch_limits {
  duration Connect = std::chrono::milliseconds(150);
  /// For the whole fetch.
  duration Total = std::chrono::milliseconds(400);
};

} // namespace bw

#endif
