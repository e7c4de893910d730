#ifndef BW_PEER_STREAMS_STREAM_CLOSED_H
#define BW_PEER_STREAMS_STREAM_CLOSED_H

#include "bw_core/ids/identifiers.h"

#include <string>
#include <string_view>

namespace bw {

enum class stream_close_reason {
  Completed,     ///< Both sides have sent all they had to, `End` included.
  PeerGone,      ///< The connection could not be made or broke.
  Reset,         ///< The other side, or this one, reset the stream.
  Refused,       ///< Wrong key, wrong incarnation or a limit was reached.
  TimedOut,      ///< The connection gave no sign for the silence limit.
  ProtocolError, ///< Malformed input, or an answer without its `End`.
  Stopped,       ///< This service is stopping.
};

/// Stable name for logs, for example `peer_gone`.
std::string_view name(stream_close_reason Reason);

/// How a stream ended. `OnClosed` gets it exactly once for each stream.
struct stream_closed {
  stream_close_reason Reason = stream_close_reason::PeerGone;
  /// True when the other side certainly never handed the head to its
  /// `OnStream` hook, so a request in it was not run.
  bool NotDelivered = false;
  /// The daemon at the other side, when it was reached. On a refusal for a
  /// wrong incarnation it is the one that runs there now.
  daemon_id Peer;
  /// For people and logs.
  std::string Detail;
};

} // namespace bw

#endif
