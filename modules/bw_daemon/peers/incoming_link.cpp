#include "bw_daemon/peers/incoming_link.h"

#include <utility>

using namespace bw;

bool incoming_link::write(std::string Part) {
  const std::lock_guard Guard(Mutex);
  Pending += Part;
  sendPending();
  return Pending.empty() && Stream.writable();
}

void incoming_link::sendPending() {
  if (Pending.empty() || !Stream.writable())
    return;
  // The stream takes a whole piece while it is writable; a refusal means that
  // it has closed, and an answer with a hole must not go on.
  if (!Stream.sendData(std::exchange(Pending, {})))
    Stream.reset();
}

void incoming_link::setOnSpace(std::function<void()> Hook) {
  const std::lock_guard Guard(Mutex);
  OnSpace = std::move(Hook);
}

void incoming_link::writable() {
  std::function<void()> Hook;
  {
    const std::lock_guard Guard(Mutex);
    sendPending();
    if (!Stream.writable())
      return;
    Hook = OnSpace;
  }
  Hook();
}
