#include "bw_detection/floor/ejection_floor.h"

#include <algorithm>
#include <cmath>

using namespace bw;

std::size_t bw::exclusionAllowance(std::size_t Count, ratio Floor) {
  // Compensates for binary rounding: 0.7 * 10 is slightly above 7 and would
  // otherwise be rounded up to 8.
  constexpr double Margin = 1e-9;
  const double Needed =
      std::ceil(Floor.value() * static_cast<double>(Count) - Margin);
  const auto Kept = static_cast<std::size_t>(std::max(Needed, 0.0));
  return Count - std::min(Kept, Count);
}

std::vector<backend_server_id> ejection_floor::selectExcluded(
    const std::vector<ejection_candidate> &Candidates) const {
  std::vector<const ejection_candidate *> Ejected;
  std::size_t Leaving = 0;
  for (const ejection_candidate &Candidate : Candidates) {
    if (Candidate.Leaving)
      ++Leaving;
    else if (Candidate.Ejected)
      Ejected.push_back(&Candidate);
  }
  std::sort(Ejected.begin(), Ejected.end(), [](auto *Left, auto *Right) {
    if (Left->Score != Right->Score)
      return Left->Score > Right->Score;
    return Left->Server < Right->Server;
  });
  const std::size_t Allowance = exclusionAllowance(Candidates.size(), Floor);
  const std::size_t Remaining = Allowance - std::min(Allowance, Leaving);
  std::vector<backend_server_id> Excluded;
  for (const ejection_candidate *Candidate : Ejected)
    if (Excluded.size() < Remaining)
      Excluded.push_back(Candidate->Server);
  return Excluded;
}
