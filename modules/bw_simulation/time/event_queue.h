#ifndef BW_SIMULATION_TIME_EVENT_QUEUE_H
#define BW_SIMULATION_TIME_EVENT_QUEUE_H

#include "bw_core/ids/time.h"

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace bw {

/// Virtual time: actions run in the order of their times, and in the order of
/// their insertion at equal times.
class event_queue {
public:
  using action = std::function<void()>;

  time_point now() const { return Now; }

  void at(time_point When, action Action);
  void after(duration Delay, action Action) {
    at(Now + Delay, std::move(Action));
  }

  /// Runs the next action; false if there is none.
  bool runNext();

private:
  struct event {
    time_point When;
    std::uint64_t Order;
    action Action;
  };
  static bool later(const event &Left, const event &Right);

  time_point Now{};
  std::uint64_t NextOrder = 0;
  std::vector<event> Heap;
};

} // namespace bw

#endif
