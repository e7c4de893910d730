#ifndef BW_GATEWAY_ROUTES_WEIGHTED_SPLIT_H
#define BW_GATEWAY_ROUTES_WEIGHTED_SPLIT_H

#include "bw_core/random/random_source.h"
#include "bw_gateway/messages/gateway_configuration.h"

namespace bw {

/// Distributes the requests of one route over its destinations by weight. Uses
/// a low-discrepancy sequence with a random start, so that the shares also hold
/// for few requests and hosts do not all start with the same service.
class weighted_split {
public:
  explicit weighted_split(random_source &Random) : Position(Random.unit()) {}

  /// Returns the service for the next request. `Destinations` must not be
  /// empty.
  const service_id &next(const std::vector<route_destination> &Destinations);

private:
  double Position;
};

} // namespace bw

#endif
