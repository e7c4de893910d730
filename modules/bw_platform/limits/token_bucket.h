#ifndef BW_PLATFORM_LIMITS_TOKEN_BUCKET_H
#define BW_PLATFORM_LIMITS_TOKEN_BUCKET_H

#include "bw_core/ids/time.h"

#include <mutex>

namespace bw {

struct token_bucket_options {
  /// Tokens added per second.
  double Rate = 50;
  /// Most tokens kept; the bucket starts full.
  double Burst = 100;
};

/// Bounds the rate of calls to the platform's service. Thread-safe.
class token_bucket {
public:
  explicit token_bucket(token_bucket_options Options)
      : Options(Options), Tokens(Options.Burst) {}
  token_bucket(const token_bucket &) = delete;
  token_bucket &operator=(const token_bucket &) = delete;

  /// Takes a token; false when there is none.
  bool take(time_point Now);

private:
  const token_bucket_options Options;
  std::mutex Mutex;
  double Tokens;
  time_point FilledAt{};
};

} // namespace bw

#endif
