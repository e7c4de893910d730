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

/// Whether more of a response may be read.
enum class read_permission : std::uint8_t {
  Read,
  Wait,
  /// Wait, and let what was received be relayed, which frees memory.
  WaitAndRelay,
};

/// Callbacks of a server connection; called on the forwarding thread.
struct server_connection_hooks {
  std::function<time_point()> Now = [] { return time_point(); };
  std::function<boot_time_point()> BootNow = [] { return boot_time_point(); };
  /// Asked before more of a response is read.
  std::function<read_permission(const server_attempt &)> MayRead =
      [](const server_attempt &) { return read_permission::Read; };
  /// Some bytes of a response were received, and it is not complete.
  std::function<void(const attempt_pointer &)> OnReceived =
      [](const attempt_pointer &) {};
  /// Reading pauses until `resumeReading`.
  std::function<void(const std::shared_ptr<server_connection> &)> OnPaused =
      [](const std::shared_ptr<server_connection> &) {};
  /// The whole response is buffered, or the buffer limit is reached.
  std::function<void(const attempt_pointer &)> OnResponse =
      [](const attempt_pointer &) {};
  /// More of a response that is being relayed is in `Body`, or it is complete.
  std::function<void(const attempt_pointer &)> OnBodyPart =
      [](const attempt_pointer &) {};
  /// The attempt ended without a usable response.
  std::function<void(const attempt_pointer &, attempt_outcome)> OnFailure =
      [](const attempt_pointer &, attempt_outcome) {};
  /// The connection can be reused.
  std::function<void(const std::shared_ptr<server_connection> &)> OnIdle =
      [](const std::shared_ptr<server_connection> &) {};
  std::function<void(const std::shared_ptr<server_connection> &)> OnClosed =
      [](const std::shared_ptr<server_connection> &) {};
};

struct server_connection_options {
  relay_headers Headers;
  /// Responses up to this size are buffered completely, so that a truncated one
  /// can be retried.
  byte_count BufferLimit = kibibytes(256);
  /// Most bytes received during an attempt that do not belong to its answer:
  /// interim responses, responses to other requests and bodies that are not
  /// relayed. A server that sends more is disconnected.
  byte_count SkipLimit = mebibytes(4);
  /// Ten round trips between data centres. TCP retransmits a lost SYN only
  /// after a second; trying another server is faster.
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
  /// Sends more of the body of a streamed request.
  void sendBody();
  /// Continues reading if it was paused and may go on.
  void resumeReading();
  /// Closes the connection without reporting a failure; the server drops the
  /// request.
  void close();

  /// True if the connection is idle, has not been closed by the server and is
  /// not about to reach the server's idle time-out.
  bool isReusable(time_point Now);
  bool isIdle() const { return IsOpen && !Attempt; }
  bool isPaused() const { return IsOpen && IsPaused; }
  const backend_server_id &server() const { return Server; }
  /// Memory of what is being sent.
  std::size_t outputMemory() const {
    return memoryOf(Output) + memoryOf(Writing);
  }

private:
  void connected(asio::error_code Code);
  void beginRequest();
  void write(std::string Bytes);
  void written(asio::error_code Code);
  void readSome();
  void readable(asio::error_code Code);
  /// True if reading has to wait.
  bool pause();
  void reportPart();
  void parse(std::string_view Bytes);
  bool headRead(http1_head Head);
  void bodyRead(std::string_view Part);
  /// True while the body of the answer that will be relayed is received.
  bool isReceivingAnswer() const;
  void responseRead(bool HasMoreBytes);
  void peerClosed();
  /// True if the connection ended other than by an orderly close.
  bool wasReset();
  void fail(attempt_outcome Outcome);
  /// Ends the attempt because what the server sent cannot be read.
  void failUnreadable(const char *Reason);
  /// The caller's id of the current request.
  std::string requestLabel() const;
  void updateIdleDeadline(const http1_head &Head);

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
  /// The idle connection is not reused from this time on.
  time_point ReusableUntil;
  response_class Classification = response_class::Usable;
  /// Bytes of the current attempt that count towards `SkipLimit`.
  std::uint64_t SkippedBytes = 0;
  bool IsInterim = false;
  bool IsReading = false;
  bool IsPaused = false;
  bool IsWriting = false;
  bool HasWriteFailed = false;
  bool IsOpen = true;
  bool IsConnected = false;
  /// The whole request was passed to the socket.
  bool IsRequestWritten = false;
  bool IsReusable = true;
};

} // namespace bw

#endif
