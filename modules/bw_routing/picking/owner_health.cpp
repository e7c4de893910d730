#include "bw_routing/picking/owner_health.h"

#include <algorithm>

using namespace bw;

namespace {

double weightOf(owner_outcome Outcome, const owner_health_options &Options) {
  switch (Outcome) {
  case owner_outcome::Answered:
    return Options.SlowWeight;
  case owner_outcome::Refused:
    return Options.RefusedWeight;
  case owner_outcome::TimedOut:
    return Options.TimedOutWeight;
  case owner_outcome::Failed:
    return Options.FailedWeight;
  }
  return 0;
}

} // namespace

bool owner_health::allowsRequest(time_point Now,
                                 const owner_health_options &Options) const {
  if (isOpen(Now))
    return false;
  const bool HalfOpen = SuccessesToClose > 0;
  return !HalfOpen || !ProbeSentAt ||
         Now - *ProbeSentAt >= Options.ProbeTimeout;
}

void owner_health::requestSent(time_point Now) {
  if (SuccessesToClose > 0 && !isOpen(Now))
    ProbeSentAt = Now;
}

void owner_health::recordOutcome(owner_outcome Outcome, bool Slow,
                                 time_point Started, time_point Now,
                                 const owner_health_options &Options) {
  if (Started < OpenUntil)
    return;
  ProbeSentAt.reset();
  if (Outcome == owner_outcome::Answered && !Slow)
    recordSuccess(Options);
  else
    recordFailure(weightOf(Outcome, Options), Now, Options);
}

void owner_health::recordSuccess(const owner_health_options &Options) {
  if (SuccessesToClose > 0)
    --SuccessesToClose;
  FailureScore *= static_cast<float>(Options.GoodAnswerDecay);
}

void owner_health::recordFailure(double Weight, time_point Now,
                                 const owner_health_options &Options) {
  FailureScore += static_cast<float>(Weight);
  if (SuccessesToClose > 0 || FailureScore >= Options.OpenThreshold)
    open(Now, Options);
}

void owner_health::open(time_point Now, const owner_health_options &Options) {
  const auto Halvings =
      std::min<std::int64_t>((Now - OpenUntil) / Options.OpenTimeHalfLife, 62);
  NextOpenTime = std::clamp(NextOpenTime / (std::int64_t(1) << Halvings),
                            Options.InitialOpenTime, Options.MaxOpenTime);
  OpenUntil = Now + NextOpenTime;
  NextOpenTime = std::min(NextOpenTime * 2, Options.MaxOpenTime);
  SuccessesToClose = Options.HalfOpenSuccesses;
  ProbeSentAt.reset();
  FailureScore = 0;
}
