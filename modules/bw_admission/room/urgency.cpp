#include "bw_admission/room/urgency.h"

#include <algorithm>
#include <iterator>

using namespace bw;

double urgency_levels::grade(urgency Urgency) const {
  if (Levels.size() < 2)
    return 0;
  const auto Rank = std::distance(Levels.begin(), Levels.lower_bound(Urgency));
  return std::min(1.0, double(Rank) / double(Levels.size() - 1));
}
