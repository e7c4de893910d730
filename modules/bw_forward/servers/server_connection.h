#ifndef BW_FORWARD_SERVERS_SERVER_CONNECTION_H
#define BW_FORWARD_SERVERS_SERVER_CONNECTION_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_forward/servers/server_attempt.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace bw {

/// What a connection tells its owner; called on the forwarding thread.
struct server_connection_hooks {
  std::function<time_point()> Now = [] { return time_point(); };
  /// The whole answer is held, or as much of a long one as may be.
  std::function<void(const attempt_pointer &)> OnAnswer =
      [](const attempt_pointer &) {};
  /// More of an answer that is being relayed is in `Body`, or it ended.
  std::function<void(const attempt_pointer &)> OnPart =
      [](const attempt_pointer &) {};
  /// The attempt ended without a usable answer.
  std::function<void(const attempt_pointer &, attempt_outcome)> OnFailure =
      [](const attempt_pointer &, attempt_outcome) {};
  /// The connection may be used again.
  std::function<void(const std::shared_ptr<server_connection> &)> OnIdle =
      [](const std::shared_ptr<server_connection> &) {};
  std::function<void(const std::shared_ptr<server_connection> &)> OnClosed =
      [](const std::shared_ptr<server_connection> &) {};
};

struct server_connection_options {
  relay_headers Headers;
  /// Answers up to this size are held whole, so that a broken one can be
  /// repeated; of longer ones, what is held before the caller reads on.
  byte_count HoldLimit = kibibytes(256);
  /// Ten round trips between data centres; a lost first packet would take a
  /// second, and another server can be asked instead.
  duration ConnectTimeout = std::chrono::milliseconds(250);
};

/// A connection to one backend server, for one request at a time.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  /// The options, the hooks and the buffer must outlive the connection.
  server_connection(asio::io_context &Context, backend_server_id Server,
                    const server_connection_options &Options,
                    const server_connection_hooks &Hooks,
                    std::span<char> ReadBuffer);
  server_connection(const server_connection &) = delete;
  server_connection &operator=(const server_connection &) = delete;

  /// Connects and sends the request.
  void open(attempt_pointer First);
  /// Sends the next request on an idle connection.
  void send(attempt_pointer Next);
  /// More of the body of a streamed request can be taken.
  void sendBody();
  /// The caller took what was held of a long answer.
  void resumeReading();
  /// Closes without reporting; the server drops the request.
  void close();

  /// True if the connection is idle, was not closed by the server and will not
  /// be within the next moment.
  bool isUsable(time_point Now);
  bool isIdle() const { return IsOpen && !Attempt; }
  const backend_server_id &server() const { return Server; }

private:
  void connected(asio::error_code Code);
  void beginRequest();
  void write(std::string Bytes);
  void written(asio::error_code Code);
  void readSome();
  void readable(asio::error_code Code);
  void parse(std::string_view Bytes);
  bool headRead(http1_head Head);
  void bodyRead(std::string_view Part);
  void answerRead(bool HasMoreBytes);
  void ended();
  void fail(attempt_outcome Outcome);
  void noteKeepAlive(const http1_head &Head);

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  backend_server_id Server;
  const server_connection_options &Options;
  const server_connection_hooks &Hooks;
  std::span<char> ReadBuffer;
  http1_parser Parser;
  attempt_pointer Attempt;
  std::string Output;
  std::string Writing;
  /// When the server may close an idle connection.
  time_point IdleUntil;
  answer_judgement Judgement = answer_judgement::Usable;
  bool IsInterim = false;
  bool IsReading = false;
  bool IsWriting = false;
  bool IsOpen = true;
  bool IsConnected = false;
  /// The whole request was handed to the socket.
  bool IsRequestWritten = false;
  bool IsReusable = true;
};

} // namespace bw

#endif
