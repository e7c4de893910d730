#ifndef BW_PEER_CONNECTIONS_STREAM_RECORD_H
#define BW_PEER_CONNECTIONS_STREAM_RECORD_H

#include "bw_peer/connections/http2_session.h"
#include "bw_peer/frames/frame_reader.h"
#include "bw_peer/streams/outgoing_queue.h"
#include "bw_peer/streams/stream_send_buffer.h"

namespace bw {

class peer_connection;

/// State of one stream. Peer thread only, except for `Buffer`.
struct stream_record {
  /// 0 until an incoming stream has its head.
  peer_stream_id Id;
  daemon_id Wanted;
  stream_callbacks Callbacks;
  std::shared_ptr<stream_send_buffer> Buffer;
  /// Null when the stream has closed.
  peer_connection *Connection = nullptr;
  /// 0 until HTTP/2 has the stream.
  http2_stream_id Http2Id = 0;
  std::unique_ptr<frame_reader> Reader;
  outgoing_queue Outgoing;
  /// The answer's HTTP/2 headers are on their way.
  bool AnswerStarted = false;
};

using stream_pointer = std::shared_ptr<stream_record>;

} // namespace bw

#endif
