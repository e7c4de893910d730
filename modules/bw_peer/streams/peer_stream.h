#ifndef BW_PEER_STREAMS_PEER_STREAM_H
#define BW_PEER_STREAMS_PEER_STREAM_H

#include "bw_core/ids/strong_number.h"
#include "bw_core/ids/units.h"
#include "bw_peer/messages/peer_messages.h"

#include <memory>
#include <string>

namespace bw {

/// Identifies a stream within one peer service. 0 means none.
using peer_stream_id = strong_number<struct peer_stream_id_tag>;

class stream_commands;
struct stream_command;
struct stream_send_buffer;

/// Handle of one stream between two daemons. Thread-safe and cheap to copy.
/// Calls on a stream that has closed do nothing. The handle must not be used
/// after its service is destroyed.
///
/// The opener sends its head with `peer_service::open` and nothing more; the
/// other side answers with at most one head, data and one end.
class peer_stream {
public:
  /// A handle of no stream.
  peer_stream() = default;
  peer_stream(peer_stream_id Id, stream_commands &Commands,
              std::shared_ptr<stream_send_buffer> Buffer);

  peer_stream_id id() const { return Id; }

  /// The three send calls return false when the message was not taken: the
  /// stream is closed or the command ring stayed full for its limit. The
  /// caller then resets the stream or lets it time out.
  bool sendHead(wire::Head Head) const;

  /// Takes the bytes when less than the send limit (256 KiB) is buffered.
  /// Memory per stream is therefore at most the limit plus one piece.
  bool sendData(std::string Bytes) const;

  /// Nothing can be sent afterwards.
  bool sendEnd(wire::End End) const;

  /// Ends the stream at once, on both sides. At the opener it cancels the
  /// request.
  void reset() const;

  /// Reopens the sender's window for bytes that `OnData` handed out.
  void consumed(byte_count Bytes) const;

  /// Bytes taken by `sendData` that are not yet handed to the connection.
  byte_count buffered() const;

  /// True while `sendData` takes bytes; `OnWritable` tells when it does again.
  bool writable() const;

private:
  bool isOpen() const;
  bool push(stream_command Command) const;

  peer_stream_id Id;
  stream_commands *Commands = nullptr;
  std::shared_ptr<stream_send_buffer> Buffer;
};

} // namespace bw

#endif
