#include "bw_gateway_daemon/follow/follower_thread.h"

using namespace bw;

follower_thread::follower_thread(runtime_clock &Clock,
                                 std::function<duration()> Callback)
    : Clock(Clock), Callback(std::move(Callback)) {}

void follower_thread::start() {
  Thread = std::thread([this] { run(); });
}

void follower_thread::stop() {
  if (!Thread.joinable())
    return;
  {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Stopped.notify_all();
  }
  Thread.join();
}

void follower_thread::run() {
  while (true) {
    const duration Pause = Callback();
    std::unique_lock Lock(Mutex);
    if (Clock.waitUntil(Lock, Stopped, Clock.now() + Pause,
                        [this] { return Stopping; }))
      return;
  }
}
