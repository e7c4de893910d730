#include "bw_forward/service/paused_connections.h"

#include <chrono>
#include <utility>

using namespace bw;

namespace {

// Short beside the time that a slow client needs for the bytes in the buffers
// of its socket; a longer one costs less with thousands of slow clients.
constexpr std::chrono::milliseconds ResumeInterval(100);

} // namespace

void paused_connections::add(
    const std::shared_ptr<caller_connection> &Connection) {
  Callers[Connection.get()] = Connection;
  schedule();
}

void paused_connections::add(
    const std::shared_ptr<server_connection> &Connection) {
  Servers[Connection.get()] = Connection;
  schedule();
}

void paused_connections::schedule() {
  if (std::exchange(IsScheduled, true))
    return;
  Timer.expires_after(ResumeInterval);
  Timer.async_wait([this](asio::error_code Cancelled) {
    IsScheduled = false;
    if (!Cancelled)
      resumeAll();
  });
}

void paused_connections::resumeAll() {
  for (const auto &[Address, Each] : std::exchange(Callers, {}))
    if (const auto Connection = Each.lock())
      Connection->resumeReading();
  for (const auto &[Address, Each] : std::exchange(Servers, {}))
    if (const auto Connection = Each.lock())
      Connection->resumeReading();
}
