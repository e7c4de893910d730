#ifndef BW_GATEWAY_DAEMON_FOLLOW_FOLLOWER_THREAD_H
#define BW_GATEWAY_DAEMON_FOLLOW_FOLLOWER_THREAD_H

#include "bw_kernel/clock/runtime_clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace bw {

/// A thread that calls a function repeatedly, with a pause between the calls.
class follower_thread {
public:
  /// Callback returns the pause before the next call.
  follower_thread(runtime_clock &Clock, std::function<duration()> Callback);
  ~follower_thread() { stop(); }
  follower_thread(const follower_thread &) = delete;
  follower_thread &operator=(const follower_thread &) = delete;

  void start();
  /// Waits for the current call and stops the thread.
  void stop();

private:
  void run();

  runtime_clock &Clock;
  std::function<duration()> Callback;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace bw

#endif
