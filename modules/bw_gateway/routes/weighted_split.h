#ifndef BW_GATEWAY_ROUTES_WEIGHTED_SPLIT_H
#define BW_GATEWAY_ROUTES_WEIGHTED_SPLIT_H

#include "bw_core/random/random_source.h"
#include "bw_gateway/messages/gateway_configuration.h"

namespace bw {

/// Deals the requests of one route to its destinations by weight. Uses a
/// low-discrepancy sequence from a random start: a host that sees few requests
/// still keeps the shares, and hosts do not all begin with the same service.
class weighted_split {
public:
  explicit weighted_split(random_source &Random) : Position(Random.unit()) {}

  /// The destinations must not be empty.
  const service_id &next(const std::vector<route_destination> &Destinations);

private:
  double Position;
};

} // namespace bw

#endif
