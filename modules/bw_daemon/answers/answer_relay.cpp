#include "bw_daemon/answers/answer_relay.h"

using namespace bw;

bool answer_relay::push(std::string_view Part) {
  const std::lock_guard Guard(Mutex);
  if (!Sink) {
    Kept += Part;
    IsPaused = true;
    return false;
  }
  Options.OnRelayed(byte_count(Part.size()));
  return writeLocked(std::string(Part));
}

bool answer_relay::writeLocked(std::string Part) {
  const bool HasRoom = Sink->write(std::move(Part));
  if (!HasRoom && !IsPaused) {
    IsPaused = true;
    Options.OnPaused(true);
  }
  return HasRoom;
}

byte_count answer_relay::attach(std::shared_ptr<answer_sink> Given) {
  const std::lock_guard Guard(Mutex);
  Sink = std::move(Given);
  Sink->setOnSpace([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->spaceAvailable();
  });
  const bool WasPaused = IsPaused;
  const byte_count KeptSize(Kept.size());
  IsPaused = false;
  const bool HasRoom = Kept.empty() || writeLocked(std::move(Kept));
  Kept.clear();
  if (WasPaused && HasRoom)
    Options.Resume();
  return KeptSize;
}

void answer_relay::spaceAvailable() {
  const std::lock_guard Guard(Mutex);
  if (!IsPaused)
    return;
  IsPaused = false;
  Options.OnPaused(false);
  Options.Resume();
}
