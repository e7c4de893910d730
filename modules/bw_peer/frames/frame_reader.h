#ifndef BW_PEER_FRAMES_FRAME_READER_H
#define BW_PEER_FRAMES_FRAME_READER_H

#include "bw_peer/frames/peer_frame.h"
#include "bw_peer/messages/peer_messages.h"
#include "bw_peer/service/peer_options.h"

#include <functional>
#include <string>
#include <string_view>

namespace bw {

struct frame_hooks {
  std::function<void(wire::Head)> OnHead;
  std::function<void(std::string_view)> OnData;
  std::function<void(const wire::End &)> OnEnd;
};

enum class frame_direction {
  Request, ///< Exactly one head.
  Answer,  ///< At most one head, data after it, one end.
};

/// Splits the bytes of one stream direction into messages and checks their
/// order and limits. Peer thread only.
class frame_reader {
public:
  frame_reader(frame_direction Direction, const peer_limits &Limits,
               frame_hooks Hooks);

  /// Takes the next bytes and returns how many of them were handed to
  /// `OnData`. \throws peer_protocol_error
  std::size_t receive(std::string_view Bytes);

  /// The direction was closed. \throws peer_protocol_error when something is
  /// missing.
  void finish() const;

  /// Bytes of a message that has not arrived entirely.
  std::size_t pending() const { return Buffer.size(); }
  bool isComplete() const { return State == state::Complete; }

private:
  enum class state { BeforeHead, AfterHead, Complete };

  std::size_t step(std::string_view &Bytes);
  void startFrame();
  void checkOrder(frame_type Found) const;
  std::size_t limitOf(frame_type Found) const;
  std::size_t passData(std::string_view &Bytes);
  void collect(std::string_view &Bytes, std::size_t Wanted);
  void finishMessage();
  void takeHead();
  void takeEnd();

  frame_direction Direction;
  const peer_limits &Limits;
  frame_hooks Hooks;
  state State = state::BeforeHead;
  bool InFrame = false;
  frame_type Type = frame_type::Head;
  std::size_t Left = 0;
  std::string Buffer;
};

} // namespace bw

#endif
