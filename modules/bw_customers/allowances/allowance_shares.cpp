#include "bw_customers/allowances/allowance_shares.h"

#include <algorithm>

using namespace bw;

namespace {

// Part of the excess over rate and burst that hosts without confirmed demand
// may refill in a window, and the part that they may have saved up.
constexpr double UnconfirmedPart = 0.15;
// Part of the burst that single hosts may save up. The rest is pooled in each
// data centre, with a part of the excess.
constexpr double SingleBurstPart = 0.4;
constexpr double PooledExcessPart = 0.4;
// A data centre without demand keeps this part of the slack, and all of them
// refill it once in a window, so that the first requests of a customer with a
// low rate are admitted.
constexpr double PoolOfSlack = 0.15;
// An aggregator learns within this time what hosts took from its pool.
constexpr double PoolDelaySeconds = 0.1;
// The pool lasts for this time if the demand is so many times the rate, and a
// few requests come together.
constexpr double PoolDemandFactor = 7.5;
constexpr double PoolDrawers = 2;
// A bucket needs some depth to admit requests that come at random times. If the
// burst is below this part of a second's requests plus these requests, they
// take its place.
constexpr double MinDepthSeconds = 0.1;
constexpr double MinDepthOfSlack = 0.1;
// Part of the excess that demand may use without being rationed.
constexpr double InsideExcessPart = 0.5;
// Demand at which a host without confirmed demand begins to ration: one request
// in the last second.
constexpr double FirstRequestRate = 1;
// A side that hears a third of the hosts or less is left a small part, a side
// that hears two thirds uses the whole rate.
constexpr double SmallSide = 1.0 / 3;
constexpr double LargeSide = 2.0 / 3;

} // namespace

double allowance_shares::excess(const customer_allowance &Allowance) const {
  const double Seconds = std::chrono::duration<double>(Bounds.Window).count();
  return Bounds.Overshoot.value() *
             (Allowance.Rate.value() * Seconds + Allowance.Burst) +
         Bounds.Slack;
}

allowance_share
allowance_shares::unconfirmed(const customer_allowance &Allowance,
                              std::uint32_t Hosts) const {
  const double Part = UnconfirmedPart * excess(Allowance) / std::max(Hosts, 1U);
  return {.Rate = request_rate(
              Part / std::chrono::duration<double>(Bounds.Window).count()),
          .Depth = Part};
}

allowance_share allowance_shares::poolShare(const customer_allowance &Allowance,
                                            ratio Part, ratio LocalPart) const {
  const double Whole = (1 - SingleBurstPart) * Allowance.Burst +
                       PooledExcessPart * excess(Allowance);
  const double Least = PoolOfSlack * Bounds.Slack;
  const double LeastRate = LocalPart.value() * Least /
                           std::chrono::duration<double>(Bounds.Window).count();
  // Half of the tokens go by hosts, so that a pool does not lose them whenever
  // low demand moves to another data centre.
  return {.Rate = request_rate(
              std::max(Part.value() * Allowance.Rate.value(), LeastRate)),
          .Depth = std::max((Part.value() + LocalPart.value()) / 2 * Whole,
                            std::min(LocalPart.value() * Whole, Least))};
}

double allowance_shares::pooledTokens(double Pool, request_rate Rate,
                                      std::uint32_t LocalHosts) {
  const double Drawers =
      PoolDrawers + PoolDemandFactor * PoolDelaySeconds * Rate.value();
  return std::max(0.0, Pool) /
         std::min(Drawers, std::max(1.0, static_cast<double>(LocalHosts)));
}

allowance_share
allowance_shares::share(const customer_allowance &Allowance,
                        std::uint32_t Hosts,
                        const std::optional<confirmed_demand> &Demand) const {
  allowance_share Result = unconfirmed(Allowance, Hosts);
  if (!Demand)
    return Result;
  Result.Depth = std::max(Result.Depth, Demand->Pooled);
  if (Demand->Own <= request_rate(0))
    return Result;
  const request_rate Total =
      std::max({Demand->Total, Demand->Own, quietTotal(Allowance.Rate)});
  const double Part =
      Demand->Factor.value() * Demand->Own.value() / Total.value();
  const double Burst =
      std::max(Allowance.Burst, MinDepthSeconds * Allowance.Rate.value() +
                                    MinDepthOfSlack * Bounds.Slack);
  Result.Rate =
      std::max(Result.Rate, request_rate(Part * Allowance.Rate.value()));
  Result.Depth = std::max(Result.Depth, SingleBurstPart * Part * Burst);
  return Result;
}

// Demand inside the allowance is not rationed: the shares of many hosts are far
// below one request, so much of them would be lost. Half of the excess covers
// demand above the rate, the rest what comes before the hosts know of a rise.
// A host whose demand has grown more than its share could is not covered by the
// total.
bool allowance_shares::isInside(const customer_allowance &Allowance,
                                const std::optional<confirmed_demand> &Demand,
                                request_rate Recent) const {
  if (!Demand || Demand->Factor < ratio(1))
    return false;
  const double Growth =
      Allowance.Rate.value() / quietTotal(Allowance.Rate).value();
  return (Demand->IsInside || Demand->Total <= insideRate(Allowance)) &&
         Recent.value() <= Growth * Demand->Own.value() + FirstRequestRate;
}

request_rate
allowance_shares::insideRate(const customer_allowance &Allowance) const {
  const double Seconds = std::chrono::duration<double>(Bounds.Window).count();
  return request_rate(Allowance.Rate.value() +
                      InsideExcessPart * excess(Allowance) / Seconds);
}

double
allowance_shares::insideWindow(const customer_allowance &Allowance) const {
  return Allowance.Rate.value() *
             std::chrono::duration<double>(Bounds.Window).count() +
         Allowance.Burst + InsideExcessPart * excess(Allowance);
}

ratio allowance_shares::sideFactor(ratio Given) const {
  const double Margin = Bounds.Overshoot.value() / 2;
  const double Heard = std::clamp(Given.value(), 0.0, 1.0);
  if (Heard >= LargeSide)
    return ratio(1);
  if (Heard <= SmallSide)
    return ratio(Margin * Heard / SmallSide);
  return ratio(Margin +
               (1 - Margin) * (Heard - SmallSide) / (LargeSide - SmallSide));
}
