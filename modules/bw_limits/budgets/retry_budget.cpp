#include "bw_limits/budgets/retry_budget.h"

#include <algorithm>

using namespace bw;

retry_budget::retry_budget(retry_budget_options Options)
    : Options(Options), Tokens(Options.InitialTokens) {}

void retry_budget::requestStarted() {
  ++Requests;
  Tokens =
      std::min(Tokens + Options.TokensPerRequest.value(), Options.Capacity);
}

bool retry_budget::tryTake() {
  // Tolerance for rounding, since a sum of steps of 0.08 may fall just short of
  // a whole token.
  constexpr double RoundingTolerance = 1e-9;
  if (Tokens + RoundingTolerance < 1) {
    ++Refusals;
    return false;
  }
  Tokens -= 1;
  ++ExtraAttempts;
  return true;
}

void retry_budget::extraAttemptFailed() {
  Tokens *= Options.TokenFactorOnFailure;
}
