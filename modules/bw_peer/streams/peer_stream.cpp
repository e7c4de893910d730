#include "bw_peer/streams/peer_stream.h"

#include "bw_peer/streams/stream_commands.h"

using namespace bw;

peer_stream::peer_stream(peer_stream_id Id, stream_commands &Commands,
                         std::shared_ptr<stream_send_buffer> Buffer)
    : Id(Id), Commands(&Commands), Buffer(std::move(Buffer)) {}

bool peer_stream::sendHead(wire::Head Head) const {
  return push({.Stream = Id, .Action = head_command{std::move(Head)}});
}

bool peer_stream::sendData(std::string Bytes) const {
  if (!isOpen())
    return false;
  const std::uint64_t Size = Bytes.size();
  if (Buffer->Bytes.load() >= Buffer->Limit)
    return false;
  // The mark is set before the piece is on its way, so the peer thread sees
  // it at the latest when it has sent this piece.
  if (Buffer->Bytes.fetch_add(Size) + Size >= Buffer->Limit)
    Buffer->WasFull = true;
  if (push({.Stream = Id, .Action = data_command{std::move(Bytes)}}))
    return true;
  Buffer->Bytes.fetch_sub(Size);
  return false;
}

bool peer_stream::sendEnd(wire::End End) const {
  return push({.Stream = Id, .Action = end_command{std::move(End)}});
}

void peer_stream::reset() const {
  push({.Stream = Id, .Action = reset_command{}});
}

void peer_stream::consumed(byte_count Bytes) const {
  push({.Stream = Id, .Action = consumed_command{Bytes}});
}

byte_count peer_stream::buffered() const {
  return byte_count(Buffer ? Buffer->Bytes.load() : 0);
}

bool peer_stream::writable() const {
  return isOpen() && Buffer->Bytes.load() < Buffer->Limit;
}

bool peer_stream::isOpen() const { return Buffer && !Buffer->Closed.load(); }

bool peer_stream::push(stream_command Command) const {
  return isOpen() && Commands->push(std::move(Command));
}
