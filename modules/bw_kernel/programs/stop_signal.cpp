#include "bw_kernel/programs/stop_signal.h"

#include <csignal>

namespace {

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

void bw::blockStopSignals() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes is seen by the failed write.
  std::signal(SIGPIPE, SIG_IGN);
}

int bw::waitForStopSignal(const std::function<void()> &OnReload) {
  const sigset_t Signals = handledSignals();
  while (true) {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    if (Signal != SIGHUP)
      return Signal;
    OnReload();
  }
}
