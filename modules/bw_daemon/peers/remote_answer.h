#ifndef BW_DAEMON_PEERS_REMOTE_ANSWER_H
#define BW_DAEMON_PEERS_REMOTE_ANSWER_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_peer/streams/peer_stream.h"
#include "bw_peer/streams/stream_callbacks.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace bw {

/// Receives the answer of one forwarded attempt on the peer thread and hands it
/// to the decide ring: whole up to 64 KiB of known length, else by head, relay
/// and end.
class remote_answer : public std::enable_shared_from_this<remote_answer> {
public:
  remote_answer(attempt_id Attempt, decide_ring &Decide);

  stream_callbacks callbacks();
  /// The stream, once it is open.
  void setStream(const peer_stream &Opened);
  /// Ends the stream; nothing more is reported.
  void reset();

private:
  void takeHead(const wire::Head &Head);
  void takeData(std::string_view Part);
  void takeEnd(const wire::End &End);
  void takeClosed(const stream_closed &Closed);
  void acknowledge();

  attempt_id Attempt;
  decide_ring &Decide;
  std::shared_ptr<answer_relay> Relay;
  std::mutex StreamMutex;
  peer_stream Stream;
  std::atomic<std::uint64_t> Unacknowledged = 0;
  std::optional<wire::AnswerHead> Head;
  std::string Body;
  bool IsWhole = true;
  bool IsEnded = false;
};

} // namespace bw

#endif
