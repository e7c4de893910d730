#ifndef BW_DECISION_BENCH_FIGURES_STOPWATCH_H
#define BW_DECISION_BENCH_FIGURES_STOPWATCH_H

#include <cstddef>
#include <functional>

namespace bw {

/// Nanoseconds for one step: the median over several runs of the mean of a
/// run. A first run, which is not counted, warms up caches.
double medianNanoseconds(std::size_t StepsPerRun,
                         const std::function<void()> &Step);

/// Nanoseconds of one call, with the clock read around each: the median of the
/// calls. `Reset` is not timed and runs after each call.
double medianOfCalls(std::size_t Calls, const std::function<void()> &Call,
                     const std::function<void()> &Reset);

} // namespace bw

#endif
