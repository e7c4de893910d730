#ifndef BW_DAEMON_ANSWERS_ANSWER_RELAY_H
#define BW_DAEMON_ANSWERS_ANSWER_RELAY_H

#include "bw_core/ids/units.h"
#include "bw_daemon/answers/answer_sink.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bw {

struct answer_relay_options {
  /// Lets the producer go on after a `push` that returned false.
  std::function<void()> Resume = [] {};
  /// Bytes went to the sink; called on the thread that brought them.
  std::function<void(byte_count)> OnRelayed = [](byte_count) {};
  /// The sink is full (true) or has room again (false).
  std::function<void(bool)> OnPaused = [](bool) {};
};

/// Joins the thread that receives the body of an answer with the sink that the
/// decide thread chooses later. Until then it keeps what comes and pauses the
/// producer. Thread-safe.
class answer_relay : public std::enable_shared_from_this<answer_relay> {
public:
  explicit answer_relay(answer_relay_options Options)
      : Options(std::move(Options)) {}

  /// Takes a part of the body. False: the producer pauses until `Resume`.
  bool push(std::string_view Part);

  /// Sends what was kept and all that follows to the sink. Returns the bytes
  /// that were kept; `OnRelayed` tells only those that follow, since the end
  /// of the answer may be on its way already.
  byte_count attach(std::shared_ptr<answer_sink> Sink);

private:
  void spaceAvailable();
  bool writeLocked(std::string Part);

  answer_relay_options Options;
  std::mutex Mutex;
  std::string Kept;
  std::shared_ptr<answer_sink> Sink;
  bool IsPaused = false;
};

} // namespace bw

#endif
