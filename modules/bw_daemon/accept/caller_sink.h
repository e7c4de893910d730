#ifndef BW_DAEMON_ACCEPT_CALLER_SINK_H
#define BW_DAEMON_ACCEPT_CALLER_SINK_H

#include "bw_daemon/accept/caller_answer.h"
#include "bw_daemon/answers/answer_sink.h"
#include "bw_kernel/rings/bounded_ring.h"

#include <memory>
#include <mutex>

namespace bw {

/// Sends a streamed answer to a caller by way of the accept ring, under a
/// window for the bytes that the socket has not taken.
class caller_sink : public answer_sink,
                    public std::enable_shared_from_this<caller_sink> {
public:
  static constexpr byte_count Window = kibibytes(256);

  caller_sink(http_exchange_pointer Exchange,
              bounded_ring<caller_answer> &Answers);

  /// Starts the answer. To be called before the first part.
  void begin(begin_stream Head);
  bool write(std::string Part) override;
  void setOnSpace(std::function<void()> Hook) override;

  /// The accept thread gave a part of that size to the exchange.
  void handedOver(std::size_t Size);

private:
  void written(byte_count Left);

  http_exchange_pointer Exchange;
  bounded_ring<caller_answer> &Answers;
  std::mutex Mutex;
  std::function<void()> OnSpace = [] {};
  std::uint64_t onTheWay() const { return Pushed - (HandedOver - Unwritten); }

  /// Bytes since the start: given to `write`, and given to the exchange.
  std::uint64_t Pushed = 0;
  std::uint64_t HandedOver = 0;
  /// Bytes that the exchange has and the socket has not.
  std::uint64_t Unwritten = 0;
  bool IsFull = false;
};

} // namespace bw

#endif
