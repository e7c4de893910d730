#ifndef BW_PEER_CONNECTIONS_PEER_CONNECTION_H
#define BW_PEER_CONNECTIONS_PEER_CONNECTION_H

#include "bw_peer/connections/stream_record.h"
#include "bw_peer/connections/tcp_socket.h"

#include <map>
#include <memory>
#include <vector>

namespace bw {

struct connection_hooks {
  /// An incoming stream has its head. Sets the record's id and callbacks.
  std::function<void(const stream_pointer &, const daemon_id &From, wire::Head)>
      OnIncoming;
  /// Called before the stream's own `OnClosed`.
  std::function<void(peer_stream_id)> OnStreamGone;
  /// The last call of a connection. It may be destroyed later, not inside.
  std::function<void(peer_connection &, stream_close_reason)> OnClosed;
};

/// One TCP connection between two daemons: the exchange of hellos, then
/// HTTP/2. Peer thread only.
class peer_connection {
public:
  peer_connection(http2_role Role, const peer_options &Options,
                  connection_hooks Hooks);
  peer_connection(const peer_connection &) = delete;
  peer_connection &operator=(const peer_connection &) = delete;

  /// Time between two calls of `tick`.
  static duration tickInterval(const peer_options &Options);

  /// Gives the connection its socket, which may still be connecting.
  void setSocket(std::unique_ptr<tcp_socket> Given);
  void connected(const std::string &Fault);

  /// Sends the head as soon as the connection is ready.
  void open(const stream_pointer &Stream, const wire::Head &Head);
  void sendHead(stream_record &Stream, const wire::Head &Head);
  void sendData(stream_record &Stream, std::string_view Bytes);
  void sendEnd(stream_record &Stream, const wire::End &End);
  void reset(const stream_pointer &Stream);
  void consumed(stream_record &Stream, byte_count Bytes);

  /// Writes what is waiting, unless a write is under way.
  void flush();
  void tick();
  void close(stream_close_reason Reason, const std::string &Detail);

private:
  enum class state { Connecting, Hello, Refusing, Ready, Closed };

  void received(std::string_view Bytes);
  void written();
  void takeHelloBytes();
  void answerHello();
  void judgeReply();
  void becomeReady();
  http2_hooks sessionHooks();
  template <typename Action> void guarded(Action Run);
  void malformed(const peer_protocol_error &Fault);

  void submit(const stream_pointer &Stream);
  bool isWanted(const stream_record &Stream) const;
  void incomingStream(http2_stream_id Id);
  void bodyArrived(http2_stream_id Id, std::string_view Bytes);
  void bodyEnded(http2_stream_id Id);
  void streamClosed(http2_stream_id Id, http2_close Reason);
  http2_body_piece readBody(http2_stream_id Id, std::span<char> Room);
  void startAnswer(stream_record &Stream);
  void appendData(stream_record &Stream, std::string_view Bytes);

  stream_close_reason reasonOf(const stream_record &Stream,
                               http2_close Reason) const;
  stream_closed closedInformation(const stream_record &Stream,
                                  stream_close_reason Reason,
                                  const std::string &Detail) const;
  void finish(const stream_pointer &Stream, const stream_closed &Closed);
  void resetUnseen(http2_stream_id Id);

  http2_role Role;
  const peer_options &Options;
  connection_hooks Hooks;
  std::unique_ptr<tcp_socket> Socket;
  std::unique_ptr<http2_session> Session;
  state State = state::Connecting;
  daemon_id Peer;
  /// Bytes of the hello, in both directions.
  std::string HelloInput;
  std::string HelloOutput;
  bool Writing = false;
  std::vector<stream_pointer> Waiting;
  std::map<http2_stream_id, stream_pointer> Streams;
  std::uint64_t PendingHeadBytes = 0;
  std::uint64_t SilentTicks = 0;
  std::uint64_t IdleTicks = 0;
  std::uint64_t ConnectTicks = 0;
};

} // namespace bw

#endif
