#ifndef BW_KERNEL_PROGRAMS_STOP_SIGNAL_H
#define BW_KERNEL_PROGRAMS_STOP_SIGNAL_H

#include <functional>

namespace bw {

/// Blocks SIGTERM, SIGINT and SIGHUP for the whole process. Call it in `main`
/// before the first thread starts, since threads inherit the signal mask.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT comes. Returns the signal's number.
/// OnReload is called for each SIGHUP meanwhile.
int waitForStopSignal(const std::function<void()> &OnReload = [] {});

} // namespace bw

#endif
