#include "bw_measurement/detection/quantile_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace bw;

namespace {

constexpr unsigned TableBits = 12;
constexpr std::size_t TableSize = 1U << TableBits;
constexpr double LongestStretch = 20;
// Stretches are kept in thousandths in a table of microseconds.
constexpr std::int64_t StretchUnit = 1000;

double micros(duration Time) {
  return std::chrono::duration<double, std::micro>(Time).count();
}

double normalQuantile(double Share) {
  double Low = -8;
  double High = 8;
  for (int Step = 0; Step < 60; ++Step) {
    const double Middle = (Low + High) / 2;
    const double Below = std::erfc(-Middle / std::sqrt(2.0)) / 2;
    (Below < Share ? Low : High) = Middle;
  }
  return Low;
}

} // namespace

quantile_table::quantile_table(const std::function<double(double)> &Quantile) {
  for (std::size_t Index = 0; Index <= TableSize; ++Index) {
    const double Position = static_cast<double>(Index) + 0.5;
    const double Share = Position / (static_cast<double>(TableSize) + 1);
    Micros.push_back(std::llround(Quantile(Share)));
  }
}

duration quantile_table::draw(random_source &Random) const {
  constexpr unsigned FractionBits = 20;
  const std::uint64_t Bits = Random.next() >> (64 - TableBits - FractionBits);
  const std::size_t Index = Bits >> FractionBits;
  const auto Fraction =
      static_cast<std::int64_t>(Bits & ((1U << FractionBits) - 1));
  const std::int64_t Width = Micros[Index + 1] - Micros[Index];
  const std::int64_t Nanos =
      Micros[Index] * 1000 + ((Width * 1000 * Fraction) >> FractionBits);
  return duration(Nanos);
}

duration quantile_table::mean() const {
  const std::int64_t Sum =
      std::accumulate(Micros.begin(), Micros.end(), std::int64_t(0));
  return std::chrono::microseconds(Sum /
                                   static_cast<std::int64_t>(Micros.size()));
}

service_time::service_time(duration Median, double Sigma, double TailShare)
    : Body([=](double Share) {
        return micros(Median) * std::exp(Sigma * normalQuantile(Share));
      }),
      Stretch([](double Share) {
        const double Factor = 2 / std::sqrt(1 - Share);
        return StretchUnit * std::min(Factor, LongestStretch);
      }),
      TailShare(TailShare) {}

duration service_time::draw(random_source &Random) const {
  const duration Time = Body.draw(Random);
  if (!Random.chance(TailShare))
    return Time;
  return Time * (Stretch.draw(Random) / std::chrono::microseconds(1)) /
         StretchUnit;
}

duration service_time::mean() const {
  const double Factor = micros(Stretch.mean()) / StretchUnit;
  const double Mean = micros(Body.mean()) * (1 + TailShare * (Factor - 1));
  return std::chrono::microseconds(std::llround(Mean));
}

quantile_table bw::exponentialTable(duration Mean) {
  return quantile_table([=](double Share) {
    return micros(Mean) * std::min(-std::log(1 - Share), 8.0);
  });
}
