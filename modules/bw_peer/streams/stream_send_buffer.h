#ifndef BW_PEER_STREAMS_STREAM_SEND_BUFFER_H
#define BW_PEER_STREAMS_STREAM_SEND_BUFFER_H

#include "bw_core/ids/units.h"

#include <atomic>

namespace bw {

/// Fill level of one stream's send direction, shared by the producer and the
/// peer thread.
struct stream_send_buffer {
  explicit stream_send_buffer(byte_count Limit) : Limit(Limit.value()) {}

  const std::uint64_t Limit;
  std::atomic<std::uint64_t> Bytes = 0;
  /// The producer was told to pause and waits for `OnWritable`.
  std::atomic<bool> WasFull = false;
  std::atomic<bool> Closed = false;
};

} // namespace bw

#endif
