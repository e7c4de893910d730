#ifndef BW_CUSTOMERS_ALLOWANCES_TRAILING_MINIMUM_H
#define BW_CUSTOMERS_ALLOWANCES_TRAILING_MINIMUM_H

#include "bw_core/ids/time.h"

#include <deque>
#include <utility>

namespace bw {

/// Smallest of the values that a quantity has had within a period.
class trailing_minimum {
public:
  explicit trailing_minimum(duration Period) : Period(Period) {}

  void add(double Value, time_point Now) {
    while (!Values.empty() && Values.back().second >= Value)
      Values.pop_back();
    Values.emplace_back(Now, Value);
    while (Values.front().first + Period < Now)
      Values.pop_front();
  }
  bool isEmpty() const { return Values.empty(); }
  /// Call `add` first.
  double value() const { return Values.front().second; }

private:
  duration Period;
  std::deque<std::pair<time_point, double>> Values;
};

} // namespace bw

#endif
