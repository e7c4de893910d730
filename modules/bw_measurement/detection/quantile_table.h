#ifndef BW_MEASUREMENT_DETECTION_QUANTILE_TABLE_H
#define BW_MEASUREMENT_DETECTION_QUANTILE_TABLE_H

#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bw {

/// Draws durations from a distribution given by its quantile function. The
/// table holds whole microseconds and drawing uses integers only, so rounding
/// in the mathematical library cannot change a draw.
class quantile_table {
public:
  /// Quantile: microseconds for a share in (0, 1).
  explicit quantile_table(const std::function<double(double)> &Quantile);

  duration draw(random_source &Random) const;
  duration mean() const;

private:
  std::vector<std::int64_t> Micros;
};

/// Lognormal body; a small share of the draws is stretched by a factor of
/// Pareto distribution (exponent 2) up to 20.
struct service_time {
  service_time(duration Median, double Sigma, double TailShare);

  duration draw(random_source &Random) const;
  duration mean() const;

private:
  quantile_table Body;
  quantile_table Stretch;
  double TailShare;
};

/// Exponential distribution, cut off at eight times its mean.
quantile_table exponentialTable(duration Mean);

} // namespace bw

#endif
