#ifndef BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_BUCKET_H
#define BW_CUSTOMERS_ALLOWANCES_ALLOWANCE_BUCKET_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <optional>

namespace bw {

/// Part of a customer's allowance that one host may use.
struct allowance_share {
  request_rate Rate;
  /// Tokens that the host may save up. May be below 1.
  double Depth = 0;

  friend bool operator==(const allowance_share &,
                         const allowance_share &) = default;
};

/// Token bucket whose share can change. A change of the share never adds
/// tokens.
///
/// The shares of many hosts may be far below one token. A request takes what
/// the bucket holds, up to one token, and is admitted when the sum taken so far
/// passes the next of a sequence of marks, one token apart. The first mark is
/// random for each host, so that hosts with the same fraction of a token do not
/// all round it up. Not thread-safe.
class allowance_bucket {
public:
  /// The bucket is full. `FirstMark` is uniform in (0, 1].
  allowance_bucket(allowance_share Share, double FirstMark, time_point Now);

  void setShare(allowance_share Share, time_point Now);
  /// Takes a token for a request; false if the request must be refused.
  bool tryTake(time_point Now);
  /// Takes a token for a request that is admitted in any case. The bucket may
  /// end up in debt, which later requests have to wait for.
  void take(time_point Now);
  /// Fills the bucket up to this number of tokens, or to its depth if that is
  /// less.
  void fillTo(double Wanted, time_point Now);
  /// Returns the token of a request that did not run.
  void giveBack(time_point Now);
  /// Time until a request is admitted; nothing if the rate is 0.
  std::optional<duration> untilNext(time_point Now);

  double tokens() const { return Tokens; }
  const allowance_share &share() const { return Share; }

private:
  void refill(time_point Now);

  allowance_share Share;
  double Tokens;
  /// Tokens that requests must still take until the next one is admitted.
  double ToMark;
  time_point Filled;
};

} // namespace bw

#endif
