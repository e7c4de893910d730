#include "bw_gateway/servers/server_evidence.h"

#include <algorithm>
#include <array>
#include <cmath>

using namespace bw;

namespace {

// As in the site files: three servers in ten fail 75 to 85 in 100 requests for
// one second in every 9 to 12, and injected gray failures affect 40 to 70 in
// 100 requests for 5 to 8 seconds.
constexpr double HealthyFailureShare = 0.012;
constexpr double BurstFailureShare = 0.8;
constexpr double GrayFailureShare = 0.55;
// Bursts last a second and are detected about halfway through.
constexpr double BurstDecaySeconds = 0.6;
constexpr double GrayDecaySeconds = 5;
// Whether a server is bursty changes only when it restarts.
constexpr double BurstyDecaySeconds = 120;
// Bounds on the probabilities, so that a change of state is detected soon.
constexpr double MinProbability = 0.003;
constexpr double MinBursty = 0.05;

double decay(double From, double To, double Age, double Seconds) {
  return To + (From - To) * std::exp(-Age / Seconds);
}

double bounded(double Belief, double Least) {
  return std::clamp(Belief, Least, 1 - Least);
}

} // namespace

server_evidence::belief server_evidence::beliefAt(time_point Now) const {
  const double Age =
      std::max(0.0, std::chrono::duration<double>(Now - At).count());
  const belief Usual;
  return {.Bursty = decay(Known.Bursty, Usual.Bursty, Age, BurstyDecaySeconds),
          .InBurst =
              decay(Known.InBurst, Usual.InBurst, Age, BurstDecaySeconds),
          .Gray = decay(Known.Gray, Usual.Gray, Age, GrayDecaySeconds)};
}

void server_evidence::add(double Good, double Bad, time_point Now) {
  const belief Before = beliefAt(Now);
  const double NotGray = 1 - Before.Gray;
  enum : std::size_t { Steady, Calm, Burst, Gray };
  std::array<double, 4> Weights = {
      NotGray * (1 - Before.Bursty),
      NotGray * Before.Bursty * (1 - Before.InBurst),
      NotGray * Before.Bursty * Before.InBurst, Before.Gray};
  constexpr std::array<double, 4> FailureShares = {
      HealthyFailureShare, HealthyFailureShare, BurstFailureShare,
      GrayFailureShare};
  // Likelihoods relative to the most likely state, as those of many outcomes
  // would underflow.
  std::array<double, 4> Logs{};
  for (std::size_t State = 0; State < Logs.size(); ++State)
    Logs[State] = Good * std::log(1 - FailureShares[State]) +
                  Bad * std::log(FailureShares[State]);
  const double Largest = *std::max_element(Logs.begin(), Logs.end());
  for (std::size_t State = 0; State < Logs.size(); ++State)
    Weights[State] *= std::exp(Logs[State] - Largest);
  const double BurstyWeight = Weights[Calm] + Weights[Burst];
  const double NotGrayWeight = Weights[Steady] + BurstyWeight;
  Known = {.Bursty = bounded(BurstyWeight / NotGrayWeight, MinBursty),
           .InBurst = bounded(Weights[Burst] / BurstyWeight, MinProbability),
           .Gray = bounded(Weights[Gray] / (NotGrayWeight + Weights[Gray]),
                           MinProbability)};
  At = Now;
}

double server_evidence::failingProbability(time_point Now) const {
  const belief Belief = beliefAt(Now);
  return Belief.Gray + (1 - Belief.Gray) * Belief.Bursty * Belief.InBurst;
}

double server_evidence::failureShare(time_point Now) const {
  const belief Belief = beliefAt(Now);
  const double Burst = (1 - Belief.Gray) * Belief.Bursty * Belief.InBurst;
  return Belief.Gray * GrayFailureShare + Burst * BurstFailureShare +
         (1 - Belief.Gray - Burst) * HealthyFailureShare;
}
