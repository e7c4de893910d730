#ifndef BW_PEER_STREAMS_STREAM_CALLBACKS_H
#define BW_PEER_STREAMS_STREAM_CALLBACKS_H

#include "bw_peer/messages/peer_messages.h"
#include "bw_peer/streams/stream_closed.h"

#include <functional>
#include <string_view>

namespace bw {

/// What a user of a stream is told. All hooks run on the peer thread and must
/// not block. An exception from a hook ends the process.
struct stream_callbacks {
  /// The answer's head, at most once.
  std::function<void(wire::Head)> OnHead = [](const wire::Head &) {};
  /// A piece of the answer, valid during the call. The sender's window stays
  /// closed for these bytes until `peer_stream::consumed` names them.
  std::function<void(std::string_view)> OnData = [](std::string_view) {};
  /// The answer is complete as far as its sender is concerned; see the
  /// outcome in it.
  std::function<void(const wire::End &)> OnEnd = [](const wire::End &) {};
  /// The send buffer has fallen to half of its limit after it was full.
  std::function<void()> OnWritable = [] {};
  /// Last call for the stream, exactly once, also after `OnEnd`.
  std::function<void(const stream_closed &)> OnClosed =
      [](const stream_closed &) {};
};

} // namespace bw

#endif
