#ifndef BW_DAEMON_ANSWERS_ANSWER_SINK_H
#define BW_DAEMON_ANSWERS_ANSWER_SINK_H

#include <functional>
#include <string>

namespace bw {

/// Where the body of a streamed answer goes: a caller's connection or a stream
/// to an entry host. Thread-safe.
class answer_sink {
public:
  virtual ~answer_sink() = default;

  /// Takes the part. False when the window is full: the producer pauses until
  /// the hook is called.
  virtual bool write(std::string Part) = 0;

  /// Called when there is room again. Set it before the first part.
  virtual void setOnSpace(std::function<void()> Hook) = 0;
};

} // namespace bw

#endif
