#include "bw_gateway/routes/weighted_split.h"

#include <cassert>

using namespace bw;

const service_id &
weighted_split::next(const std::vector<route_destination> &Destinations) {
  assert(!Destinations.empty());
  // Additive recurrence: steps of the golden ratio spread any number of points
  // evenly.
  constexpr double GoldenRatio = 0.6180339887498949;
  Position += GoldenRatio;
  if (Position >= 1)
    Position -= 1;
  double Sum = 0;
  for (const route_destination &Each : Destinations)
    Sum += Each.Weight;
  double Remaining = Position * Sum;
  for (const route_destination &Each : Destinations) {
    Remaining -= Each.Weight;
    if (Remaining < 0)
      return Each.Service;
  }
  return Destinations.front().Service;
}
