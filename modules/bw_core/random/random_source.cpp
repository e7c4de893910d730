#include "bw_core/random/random_source.h"

#include <cassert>
#include <cmath>
#include <numbers>

using namespace bw;

std::uint64_t random_source::next() {
  State += 0x9e3779b97f4a7c15ULL;
  std::uint64_t Value = State;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::uint64_t random_source::below(std::uint64_t Bound) {
  assert(Bound > 0);
  // The bias of the modulus is below Bound / 2^64.
  return next() % Bound;
}

double random_source::unit() {
  return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double random_source::normal() {
  const double Radius = std::sqrt(-2.0 * std::log(1.0 - unit()));
  return Radius * std::cos(2.0 * std::numbers::pi * unit());
}

double random_source::exponential(double Mean) {
  return -Mean * std::log(1.0 - unit());
}
