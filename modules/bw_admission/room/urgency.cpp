#include "bw_admission/room/urgency.h"

#include <algorithm>
#include <iterator>

using namespace bw;

double urgency_levels::grade(urgency Urgency) const {
  // Requests of one urgency compete by customer, and the queues of servers know
  // no customers, so as few as possible wait there.
  if (Levels.size() < 2)
    return 1;
  const auto Rank = std::distance(Levels.begin(), Levels.lower_bound(Urgency));
  return std::min(1.0, double(Rank) / double(Levels.size() - 1));
}
