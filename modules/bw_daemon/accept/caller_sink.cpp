#include "bw_daemon/accept/caller_sink.h"

using namespace bw;

caller_sink::caller_sink(http_exchange_pointer Exchange,
                         bounded_ring<caller_answer> &Answers)
    : Exchange(std::move(Exchange)), Answers(Answers) {}

void caller_sink::begin(begin_stream Head) {
  Exchange->setOnWritten([Weak = weak_from_this()](byte_count Left) {
    if (const auto Self = Weak.lock())
      Self->written(Left);
  });
  Answers.push({Exchange, std::move(Head)});
}

bool caller_sink::write(std::string Part) {
  bool HasRoom = false;
  {
    const std::lock_guard Guard(Mutex);
    Pushed += Part.size();
    HasRoom = onTheWay() < Window.value();
    IsFull = IsFull || !HasRoom;
  }
  if (!Answers.push(
          {Exchange, stream_part{std::move(Part), shared_from_this()}}))
    // An answer without this part must not look whole.
    Answers.push({Exchange, abort_stream{}});
  return HasRoom;
}

void caller_sink::setOnSpace(std::function<void()> Hook) {
  const std::lock_guard Guard(Mutex);
  OnSpace = std::move(Hook);
}

void caller_sink::handedOver(std::size_t Size) {
  const std::lock_guard Guard(Mutex);
  HandedOver += Size;
  Unwritten += Size;
}

void caller_sink::written(byte_count Left) {
  std::function<void()> Hook;
  {
    const std::lock_guard Guard(Mutex);
    Unwritten = Left.value();
    if (!IsFull || onTheWay() > Window.value() / 2)
      return;
    IsFull = false;
    Hook = OnSpace;
  }
  Hook();
}
