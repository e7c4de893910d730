#ifndef BW_CORE_RANDOM_RANDOM_SOURCE_H
#define BW_CORE_RANDOM_RANDOM_SOURCE_H

#include <cstdint>

namespace bw {

/// Seeded generator (SplitMix64): the same seed gives the same numbers on any
/// machine, which the distributions of the standard library do not promise.
/// Copying it copies its position.
class random_source {
public:
  explicit random_source(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next();

  /// Uniform in [0, Bound). Bound must be above 0.
  std::uint64_t below(std::uint64_t Bound);

  /// Uniform in [0, 1).
  double unit();

  /// Standard normal variate.
  double normal();

  /// Exponential variate with the given mean.
  double exponential(double Mean);

  /// True with the given probability.
  bool chance(double Probability) { return unit() < Probability; }

private:
  std::uint64_t State;
};

} // namespace bw

#endif
