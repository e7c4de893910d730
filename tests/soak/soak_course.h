#ifndef TESTS_SOAK_SOAK_COURSE_H
#define TESTS_SOAK_SOAK_COURSE_H

#include "bw_core/random/random_source.h"
#include "tests/soak/promise_checker.h"
#include "tests/soak/soak_run.h"

#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace bw::soak {

/// What the parts of a run share: options, clock, chance, the checker, the
/// actions that lie ahead and the record of what was done. Actions run on the
/// thread that calls `act`; only this thread plans, notes and draws.
class soak_course {
public:
  explicit soak_course(const soak_options &Options);
  soak_course(const soak_course &) = delete;
  soak_course &operator=(const soak_course &) = delete;

  const soak_options Options;
  const promise_bounds Bounds;
  runtime_clock Clock;
  random_source Random;
  const relay_headers Names;
  promise_checker Checker{Bounds};
  const time_point Start;

  /// Returns a random time between the two.
  duration span(duration Least, duration Most);
  /// Adds a line to the timeline.
  void note(const std::string &Text);
  void at(time_point When, std::function<void()> Act);
  void after(duration Wait, std::function<void()> Act);
  /// Runs the actions, also those that they add, until none is left. Calls
  /// `OnCheck` twice a second.
  void act(const std::function<void(time_point)> &OnCheck);
  std::vector<std::string> takeTimeline() { return std::move(Timeline); }

private:
  struct action {
    time_point At;
    std::uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const action &Other) const;
  };

  std::priority_queue<action> Actions;
  std::uint64_t LastOrder = 0;
  std::vector<std::string> Timeline;
};

} // namespace bw::soak

#endif
