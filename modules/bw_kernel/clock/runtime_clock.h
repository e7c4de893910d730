#ifndef BW_KERNEL_CLOCK_RUNTIME_CLOCK_H
#define BW_KERNEL_CLOCK_RUNTIME_CLOCK_H

#include "bw_core/ids/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>

namespace bw {

/// The clock of the runtime. All waits with a deadline go through it, so that
/// a test can pause it and advance it by hand. Thread-safe; not copyable.
class runtime_clock {
public:
  runtime_clock() = default;
  runtime_clock(const runtime_clock &) = delete;
  runtime_clock &operator=(const runtime_clock &) = delete;

  time_point now() const;

  /// Returns the time including the time for which the host was suspended.
  boot_time_point bootNow() const;

  /// Lets `bootNow` of a paused clock move on while `now` stands still, as
  /// during a suspension of the host.
  void suspend(duration Step);

  /// Stops the time until `advance` or `resume` is called.
  void pause();

  /// Moves a paused clock and wakes the waiters whose deadline has come.
  void advance(duration Step);

  /// Lets the time run on from where it was paused.
  void resume();

  /// Waits until `Ready` holds or `Deadline` has come. Returns what `Ready`
  /// returned last. `Lock` must hold the mutex that guards `Ready`.
  bool waitUntil(std::unique_lock<std::mutex> &Lock,
                 std::condition_variable &Condition, time_point Deadline,
                 const std::function<bool()> &Ready);

private:
  time_point nowLocked() const;

  mutable std::mutex Mutex;
  bool Paused = false;
  time_point PausedAt{};
  duration Offset{};
  /// Time that `bootNow` is ahead of `now`, while paused.
  duration PausedSuspension{};
  std::multiset<std::condition_variable *> Waiters;
};

} // namespace bw

#endif
