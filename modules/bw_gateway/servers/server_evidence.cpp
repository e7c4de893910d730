#include "bw_gateway/servers/server_evidence.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Gray failures of the platform's fleets last about five seconds.
constexpr double FailureSeconds = 5;
// Shares of requests that fail at a server that is well and at one that is
// failing: the site files give 0.012, and 0.4 to 0.85.
constexpr double WellFailureShare = 0.012;
constexpr double FailingFailureShare = 0.6;
// Likelihood ratios of one outcome, from the two shares. That of a failure is
// limited, so that one chance failure on a well server is soon outweighed.
constexpr double LogRatioOfFailure = 3.0;
const double LogRatioOfSuccess =
    std::log((1 - FailingFailureShare) / (1 - WellFailureShare));
// Keeps the filter from becoming so sure that a change takes long to be seen.
constexpr double LargestLogOdds = 4;

} // namespace

double server_evidence::failing(time_point Now) const {
  const double Age =
      std::max(0.0, std::chrono::duration<double>(Now - At).count());
  return UsualFailing +
         (Failing - UsualFailing) * std::exp(-Age / FailureSeconds);
}

void server_evidence::add(double Good, double Bad, time_point Now) {
  const double Before = failing(Now);
  const double LogOdds =
      std::clamp(std::log(Before / (1 - Before)) + Good * LogRatioOfSuccess +
                     Bad * LogRatioOfFailure,
                 -LargestLogOdds, LargestLogOdds);
  Failing = 1 / (1 + std::exp(-LogOdds));
  At = Now;
}

double server_evidence::failureShare(time_point Now) const {
  const double Sick = failing(Now);
  return Sick * FailingFailureShare + (1 - Sick) * WellFailureShare;
}
