#ifndef BW_PEER_STREAMS_OUTGOING_QUEUE_H
#define BW_PEER_STREAMS_OUTGOING_QUEUE_H

#include <deque>
#include <span>
#include <string>

namespace bw {

/// Bytes of one stream on their way to the connection. Peer thread only.
class outgoing_queue {
public:
  /// `DataBytes` says how many of the bytes the producer is charged for.
  void push(std::string Bytes, std::size_t DataBytes = 0);

  /// No bytes follow those inside.
  void finish() { Finished = true; }

  struct taken {
    std::size_t Size = 0;
    /// Charges of the pieces that have left entirely.
    std::size_t DataBytes = 0;
  };

  /// Moves bytes from the front into `Room`.
  taken take(std::span<char> Room);

  bool empty() const { return Pieces.empty(); }
  bool isFinished() const { return Finished; }
  /// Everything has left, and nothing follows.
  bool isDone() const { return Finished && Pieces.empty(); }

private:
  struct piece {
    std::string Bytes;
    std::size_t DataBytes = 0;
    std::size_t Offset = 0;
  };

  std::deque<piece> Pieces;
  bool Finished = false;
};

} // namespace bw

#endif
