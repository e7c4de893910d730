#ifndef BW_DAEMON_PEERS_PATH_PROBE_H
#define BW_DAEMON_PEERS_PATH_PROBE_H

#include "bw_peer/streams/peer_stream.h"

#include <mutex>

namespace bw {

/// Collects the outcomes of the requests that a successor sends for a path
/// check, and answers the owner when all are in. Thread-safe.
class path_probe {
public:
  static constexpr std::uint32_t ProbeCount = 3;

  explicit path_probe(peer_stream Stream) : Stream(std::move(Stream)) {}

  void add(bool IsGood);
  /// Answers with what is known so far.
  void answer();

private:
  peer_stream Stream;
  std::mutex Mutex;
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
};

} // namespace bw

#endif
