#ifndef BW_CUSTOMERS_ALLOWANCES_WINDOW_COUNT_H
#define BW_CUSTOMERS_ALLOWANCES_WINDOW_COUNT_H

#include "bw_core/ids/time.h"

#include <deque>
#include <utility>

namespace bw {

/// Number of events in a trailing window. Counts in intervals of a twentieth of
/// the window, so an event counts for up to that much longer.
class window_count {
public:
  explicit window_count(duration Window) : Window(Window) {}

  void add(double Events, time_point Now) {
    forget(Now);
    if (Intervals.empty() || Now - Intervals.back().first >= Window / Parts)
      Intervals.emplace_back(Now, 0);
    Intervals.back().second += Events;
  }
  double value(time_point Now) const {
    double Result = 0;
    for (const auto &[Since, Events] : Intervals)
      if (!isOver(Since, Now))
        Result += Events;
    return Result;
  }

private:
  static constexpr int Parts = 20;

  bool isOver(time_point Since, time_point Now) const {
    return Now - Since > Window + Window / Parts;
  }
  void forget(time_point Now) {
    while (!Intervals.empty() && isOver(Intervals.front().first, Now))
      Intervals.pop_front();
  }

  duration Window;
  /// The start of each interval and its events, oldest first.
  std::deque<std::pair<time_point, double>> Intervals;
};

} // namespace bw

#endif
