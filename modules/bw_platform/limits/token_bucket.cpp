#include "bw_platform/limits/token_bucket.h"

#include <algorithm>

using namespace bw;

bool token_bucket::take(time_point Now) {
  const std::lock_guard Guard(Mutex);
  const std::chrono::duration<double> Passed =
      std::max(duration::zero(), Now - FilledAt);
  Tokens = std::min(Options.Burst, Tokens + Passed.count() * Options.Rate);
  FilledAt = std::max(FilledAt, Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}
