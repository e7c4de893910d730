#include "bw_kernel/clock/runtime_clock.h"

#include <algorithm>
#include <cassert>
#include <ctime>

using namespace bw;

namespace {

// Bounds one sleep, since a notification by `advance` can fall between the
// check of the deadline and the wait; also far deadlines overflow in libstdc++.
constexpr std::chrono::milliseconds MaxSleepRunning{60'000};
constexpr std::chrono::milliseconds MaxSleepPaused{20};

time_point systemNow() {
  return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

// Time for which the host was suspended since its start. The clocks are read
// one after the other, so the difference can be too small by a few
// microseconds.
duration systemSuspension() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  const duration Boot =
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec);
  return std::max(Boot - systemNow().time_since_epoch(), duration::zero());
}

} // namespace

time_point runtime_clock::nowLocked() const {
  return Paused ? PausedAt : systemNow() + Offset;
}

time_point runtime_clock::now() const {
  const std::lock_guard Guard(Mutex);
  return nowLocked();
}

boot_time_point runtime_clock::bootNow() const {
  const std::lock_guard Guard(Mutex);
  const duration Suspension = Paused ? PausedSuspension : systemSuspension();
  return boot_time_point(nowLocked().time_since_epoch() + Suspension);
}

void runtime_clock::suspend(duration Step) {
  const std::lock_guard Guard(Mutex);
  assert(Paused && Step >= duration::zero());
  PausedSuspension += Step;
}

void runtime_clock::pause() {
  const std::lock_guard Guard(Mutex);
  PausedAt = nowLocked();
  PausedSuspension = systemSuspension();
  Paused = true;
}

void runtime_clock::advance(duration Step) {
  const std::lock_guard Guard(Mutex);
  assert(Paused && Step >= duration::zero());
  PausedAt += Step;
  for (std::condition_variable *Waiter : Waiters)
    Waiter->notify_all();
}

void runtime_clock::resume() {
  const std::lock_guard Guard(Mutex);
  Offset = nowLocked() - systemNow();
  Paused = false;
}

bool runtime_clock::waitUntil(std::unique_lock<std::mutex> &Lock,
                              std::condition_variable &Condition,
                              time_point Deadline,
                              const std::function<bool()> &Ready) {
  std::multiset<std::condition_variable *>::iterator Entry;
  {
    const std::lock_guard Guard(Mutex);
    Entry = Waiters.insert(&Condition);
  }
  bool Result = Ready();
  while (!Result) {
    bool IsPaused = false;
    duration Left{};
    {
      const std::lock_guard Guard(Mutex);
      IsPaused = Paused;
      // A deadline far in the future must not overflow the subtraction.
      Left = Deadline == time_point::max() ? duration::max()
                                           : Deadline - nowLocked();
    }
    if (Left <= duration::zero())
      break;
    const duration Limit = IsPaused ? MaxSleepPaused : MaxSleepRunning;
    Condition.wait_for(Lock, IsPaused ? Limit : std::min(Left, Limit));
    Result = Ready();
  }
  const std::lock_guard Guard(Mutex);
  Waiters.erase(Entry);
  return Result;
}
