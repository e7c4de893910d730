#include "bw_peer/streams/outgoing_queue.h"

#include <algorithm>

using namespace bw;

void outgoing_queue::push(std::string Bytes, std::size_t DataBytes) {
  Pieces.push_back({.Bytes = std::move(Bytes), .DataBytes = DataBytes});
}

outgoing_queue::taken outgoing_queue::take(std::span<char> Room) {
  taken Result;
  while (Result.Size < Room.size() && !Pieces.empty()) {
    piece &First = Pieces.front();
    const std::size_t Step =
        std::min(Room.size() - Result.Size, First.Bytes.size() - First.Offset);
    std::copy_n(First.Bytes.data() + First.Offset, Step,
                Room.data() + Result.Size);
    Result.Size += Step;
    First.Offset += Step;
    if (First.Offset < First.Bytes.size())
      break;
    Result.DataBytes += First.DataBytes;
    Pieces.pop_front();
  }
  return Result;
}
