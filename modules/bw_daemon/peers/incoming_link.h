#ifndef BW_DAEMON_PEERS_INCOMING_LINK_H
#define BW_DAEMON_PEERS_INCOMING_LINK_H

#include "bw_daemon/answers/answer_sink.h"
#include "bw_peer/streams/peer_stream.h"

#include <functional>
#include <mutex>

namespace bw {

/// A stream that another daemon opened, as the sink of the answer to it.
/// Thread-safe.
class incoming_link : public answer_sink {
public:
  explicit incoming_link(peer_stream Stream) : Stream(std::move(Stream)) {}

  const peer_stream &stream() const { return Stream; }

  bool write(std::string Part) override;
  void setOnSpace(std::function<void()> Hook) override;
  /// Called on the peer thread when the stream takes data again.
  void writable();

private:
  void sendPending();

  peer_stream Stream;
  std::mutex Mutex;
  /// What came after the stream was full: libcurl hands out the rest of its
  /// buffer, at most 64 KiB, although the transfer was paused.
  std::string Pending;
  std::function<void()> OnSpace = [] {};
};

} // namespace bw

#endif
