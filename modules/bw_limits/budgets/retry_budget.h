#ifndef BW_LIMITS_BUDGETS_RETRY_BUDGET_H
#define BW_LIMITS_BUDGETS_RETRY_BUDGET_H

#include "bw_core/ids/units.h"

#include <cstdint>

namespace bw {

struct retry_budget_options {
  /// Tokens added per request; an extra attempt takes one whole token.
  ratio TokensPerRequest{0.08};
  /// Maximum number of tokens, available for a burst such as the failure of an
  /// owner.
  double Capacity = 10;
  /// Initial tokens. One token allows a host that has just started to retry its
  /// first failed request.
  double InitialTokens = 1;
  /// Factor applied to the tokens when an extra attempt fails. In a full outage
  /// a few attempts use up the tokens, so a burst does not raise the number of
  /// attempts during the outage.
  double TokenFactorOnFailure = 0.5;
};

/// Token bucket for attempts beyond the first of a request: retries, resumed
/// transfers and hedges. Over any period, the number of extra attempts is at
/// most `Capacity` plus `TokensPerRequest` times the requests. In a full outage
/// only 2 or 3 of the accumulated tokens are used.
class retry_budget {
public:
  explicit retry_budget(retry_budget_options Options = {});

  /// Must be called once per request, before its first attempt.
  void requestStarted();
  /// Takes a token. Returns false if no extra attempt is allowed now.
  bool tryTake();
  /// Must be called when an extra attempt did not succeed.
  void extraAttemptFailed();

  double tokens() const { return Tokens; }
  std::uint64_t requests() const { return Requests; }
  std::uint64_t extraAttempts() const { return ExtraAttempts; }
  std::uint64_t refusals() const { return Refusals; }

private:
  retry_budget_options Options;
  double Tokens;
  std::uint64_t Requests = 0;
  std::uint64_t ExtraAttempts = 0;
  std::uint64_t Refusals = 0;
};

} // namespace bw

#endif
