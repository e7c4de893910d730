#include "bw_peer/streams/stream_commands.h"

using namespace bw;

stream_commands::stream_commands(runtime_clock &Clock, std::size_t Capacity,
                                 duration Limit, std::function<void()> Wake)
    : Ring(Clock, {.Capacity = Capacity,
                   .Overflow = overflow_policy::Block,
                   .BlockLimit = Limit,
                   .OnReady = Wake}),
      Wake(std::move(Wake)) {}

void stream_commands::enterPeerThread() {
  PeerThread = std::this_thread::get_id();
}

bool stream_commands::push(stream_command Command) {
  if (PeerThread.load() != std::this_thread::get_id())
    return Ring.push(std::move(Command));
  if (Closed)
    return false;
  Own.push_back(std::move(Command));
  Wake();
  return true;
}

std::optional<stream_command> stream_commands::take() {
  if (Own.empty())
    return Ring.tryPop();
  stream_command First = std::move(Own.front());
  Own.pop_front();
  return First;
}

void stream_commands::close() {
  Closed = true;
  Ring.close();
}
