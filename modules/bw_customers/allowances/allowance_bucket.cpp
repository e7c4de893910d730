#include "bw_customers/allowances/allowance_bucket.h"

#include <algorithm>

using namespace bw;

allowance_bucket::allowance_bucket(allowance_share Given, double FirstMark,
                                   time_point Now)
    : Share(Given), Tokens(Given.Depth), ToMark(FirstMark), Filled(Now) {}

void allowance_bucket::refill(time_point Now) {
  if (Now <= Filled)
    return;
  const double Seconds = std::chrono::duration<double>(Now - Filled).count();
  Filled = Now;
  Tokens = std::min(Tokens + Seconds * Share.Rate.value(), Share.Depth);
}

void allowance_bucket::setShare(allowance_share Given, time_point Now) {
  refill(Now);
  Share = Given;
  Tokens = std::min(Tokens, Share.Depth);
}

void allowance_bucket::fillTo(double Wanted, time_point Now) {
  refill(Now);
  Tokens = std::max(Tokens, std::min(Wanted, Share.Depth));
}

bool allowance_bucket::tryTake(time_point Now) {
  refill(Now);
  // After a returned token, a request is admitted without taking another.
  const double Taken = ToMark <= 0 ? 0 : std::clamp(Tokens, 0.0, 1.0);
  Tokens -= Taken;
  ToMark -= Taken;
  if (ToMark > 0)
    return false;
  ToMark += 1;
  return true;
}

void allowance_bucket::take(time_point Now) {
  refill(Now);
  Tokens -= 1;
}

void allowance_bucket::giveBack(time_point Now) {
  refill(Now);
  if (Share.Depth >= 1)
    Tokens = std::min(Tokens + 1, Share.Depth);
  else if (ToMark > 0)
    ToMark -= 1;
}

std::optional<duration> allowance_bucket::untilNext(time_point Now) {
  refill(Now);
  const double Missing = ToMark - Tokens;
  if (Missing <= 0)
    return duration::zero();
  if (Share.Rate <= request_rate(0))
    return std::nullopt;
  // Longer times than an hour are not distinguished and could overflow.
  constexpr double MaxSeconds = 3600;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      std::min(Missing / Share.Rate.value(), MaxSeconds)));
}
