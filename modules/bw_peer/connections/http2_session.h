#ifndef BW_PEER_CONNECTIONS_HTTP2_SESSION_H
#define BW_PEER_CONNECTIONS_HTTP2_SESSION_H

#include "bw_peer/service/peer_options.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace bw {

using http2_stream_id = std::int32_t;

enum class http2_role { Client, Server };

/// Why a stream ended, as far as HTTP/2 tells.
enum class http2_close { Clean, Cancelled, Refused, Faulty };

struct http2_body_piece {
  std::size_t Size = 0;
  /// No bytes now; `resumeBody` tells when there are some.
  bool Deferred = false;
  bool Ended = false;
};

struct http2_hooks {
  /// Server: the headers of a new stream have arrived.
  std::function<void(http2_stream_id)> OnStream;
  std::function<void(http2_stream_id, std::string_view)> OnBody;
  /// The other side sends nothing more on the stream.
  std::function<void(http2_stream_id)> OnBodyEnd;
  std::function<void(http2_stream_id, http2_close)> OnStreamClosed;
  /// Fills the room with the next bytes of the own direction.
  std::function<http2_body_piece(http2_stream_id, std::span<char>)> ReadBody;
};

/// HTTP/2 without a socket: bytes in, events and bytes out. Stream windows
/// open again only by `consumed`; the window of the connection opens at once,
/// so that one slow stream does not hold up the others. Peer thread only.
class http2_session {
public:
  http2_session(http2_role Role, const peer_limits &Limits, http2_hooks Hooks);
  ~http2_session();
  http2_session(const http2_session &) = delete;
  http2_session &operator=(const http2_session &) = delete;

  /// Client: starts a stream whose body `ReadBody` gives.
  /// \throws peer_protocol_error when the session can open no more streams
  http2_stream_id openStream();
  /// Server: starts the answer of a stream.
  void answerStream(http2_stream_id Id);
  void resumeBody(http2_stream_id Id);
  void resetStream(http2_stream_id Id, http2_close Reason);
  void consumed(http2_stream_id Id, byte_count Bytes);
  void ping();

  /// \throws peer_protocol_error, and what a hook throws
  void receive(std::string_view Bytes);

  /// Bytes to send next, about `Target` of them at most; empty when there is
  /// nothing to send.
  std::string takeOutput(std::size_t Target);

  /// The session has ended by a GOAWAY of either side.
  bool isFinished() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
