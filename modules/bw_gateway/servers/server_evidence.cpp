#include "bw_gateway/servers/server_evidence.h"

#include <cmath>

using namespace bw;

namespace {

// Gray failures of the two fleets last five seconds or more; after one
// half-life a server that recovered is tried again.
constexpr double HalfLifeSeconds = 3;
// A server without evidence counts as this many outcomes with this usual
// share of failures.
constexpr double PriorWeight = 1.5;
constexpr double PriorFailureShare = 0.02;

} // namespace

double server_evidence::decay(time_point Now) const {
  const double Age = std::chrono::duration<double>(Now - At).count();
  return Age <= 0 ? 1 : std::exp2(-Age / HalfLifeSeconds);
}

void server_evidence::add(double MoreGood, double MoreBad, time_point Now) {
  const double Kept = decay(Now);
  Good = Good * Kept + MoreGood;
  Bad = Bad * Kept + MoreBad;
  At = Now;
}

double server_evidence::failureShare(time_point Now) const {
  const double Kept = decay(Now);
  return (Bad * Kept + PriorWeight * PriorFailureShare) /
         ((Good + Bad) * Kept + PriorWeight);
}
