#ifndef BW_PEER_STREAMS_STREAM_COMMANDS_H
#define BW_PEER_STREAMS_STREAM_COMMANDS_H

#include "bw_kernel/rings/bounded_ring.h"
#include "bw_peer/service/peer_options.h"
#include "bw_peer/streams/stream_send_buffer.h"

#include <deque>
#include <thread>
#include <variant>

namespace bw {

struct open_command {
  peer_target Target;
  wire::Head Head;
  stream_callbacks Callbacks;
  std::shared_ptr<stream_send_buffer> Buffer;
};
struct head_command {
  wire::Head Head;
};
struct data_command {
  std::string Bytes;
};
struct end_command {
  wire::End End;
};
struct reset_command {};
struct consumed_command {
  byte_count Bytes;
};

struct stream_command {
  peer_stream_id Stream;
  std::variant<open_command, head_command, data_command, end_command,
               reset_command, consumed_command>
      Action;
};

/// Carries commands to the peer thread. Commands of the peer thread itself,
/// from hooks, go through a list of their own: that thread empties the ring
/// and must never wait for room in it.
class stream_commands {
public:
  /// `Wake` is called from any thread when commands wait.
  stream_commands(runtime_clock &Clock, std::size_t Capacity, duration Limit,
                  std::function<void()> Wake);

  /// Names the calling thread as the peer thread.
  void enterPeerThread();

  /// Thread-safe. False when the ring stayed full or is closed.
  bool push(stream_command Command);

  /// Peer thread only.
  std::optional<stream_command> take();

  /// Later commands are refused; those inside are still handed out.
  void close();

private:
  bounded_ring<stream_command> Ring;
  std::function<void()> Wake;
  std::atomic<std::thread::id> PeerThread;
  std::deque<stream_command> Own;
  bool Closed = false;
};

} // namespace bw

#endif
