#ifndef BW_FORWARD_CALLERS_CALLER_CONNECTION_H
#define BW_FORWARD_CALLERS_CALLER_CONNECTION_H

#include "bw_core/ids/time.h"
#include "bw_forward/callers/caller_exchange.h"
#include "bw_gateway/messages/gateway_configuration.h"

#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace bw {

/// Callbacks of a caller connection; called on the forwarding thread.
struct caller_connection_hooks {
  std::function<request_number()> NextNumber = [] { return request_number(); };
  std::function<time_point()> Now = [] { return time_point(); };
  /// A request is ready for a decision.
  std::function<void(const exchange_pointer &)> OnRequest =
      [](const exchange_pointer &) {};
  /// More of the body of a streamed request was received.
  std::function<void(const exchange_pointer &)> OnBody =
      [](const exchange_pointer &) {};
  /// The caller disconnected before its response was complete.
  std::function<void(const exchange_pointer &)> OnDisconnected =
      [](const exchange_pointer &) {};
  /// The pending response bytes were written; more can be accepted.
  std::function<void(const exchange_pointer &)> OnOutputWritten =
      [](const exchange_pointer &) {};
  std::function<void(const std::shared_ptr<caller_connection> &)> OnClosed =
      [](const std::shared_ptr<caller_connection> &) {};
};

struct caller_connection_options {
  caller_limits Limits;
  /// Bodies up to this size are buffered so that they can be sent again.
  byte_count ReplayLimit = kibibytes(256);
  /// Maximum number of requests in progress on one connection.
  std::size_t MaxPipelined = 16;
};

/// A connection from a caller. Reads pipelined requests and writes the
/// responses in the order of the requests.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// The options, the hooks and the buffer must outlive the connection.
  caller_connection(asio::ip::tcp::socket Socket,
                    const caller_connection_options &Options,
                    const caller_connection_hooks &Hooks,
                    std::span<char> ReadBuffer);
  caller_connection(const caller_connection &) = delete;
  caller_connection &operator=(const caller_connection &) = delete;

  void start();

  /// Writes the pending output of the exchanges at the front of the queue.
  void flush();
  /// Resets the connection, so that the caller can detect that the response is
  /// incomplete.
  void abort();
  /// Continues reading after a server accepted part of a streamed body.
  void resumeReading();

  /// Closes the connection if it has been idle or slow for too long.
  void checkTimeouts(time_point Now);
  /// Closes the connection after the pending responses, or at once if it is
  /// idle.
  void closeWhenIdle();
  /// Closes the connection after the response to the next request.
  void closeAfterNextResponse() { IsStopping = true; }
  bool isIdle() const { return Queue.empty() && !Parser.isInMessage(); }

private:
  void readSome();
  void readable(asio::error_code Code);
  void parse(std::string_view Bytes);
  bool headRead(http1_head Head);
  void bodyRead(std::string_view Part);
  void requestRead();
  void dispatchRequest();
  /// Responds to an invalid request with an error and closes the connection.
  void reject(int Status);
  void write();
  void written(asio::error_code Code);
  void finishOutput();
  void disconnect();
  void close();

  asio::ip::tcp::socket Socket;
  const caller_connection_options &Options;
  const caller_connection_hooks &Hooks;
  std::span<char> ReadBuffer;
  http1_parser Parser;
  std::deque<exchange_pointer> Queue;
  /// The request being read; it is also the last element of the queue.
  exchange_pointer Reading;
  /// Bytes received while the queue was full.
  std::string Unparsed;
  std::string Writing;
  time_point LastActivity;
  /// Body bytes received so far of the request being read.
  std::uint64_t BodySize = 0;
  bool IsBodyTooBig = false;
  bool IsReading = false;
  bool IsWriting = false;
  /// No further requests are parsed.
  bool IsInputClosed = false;
  bool IsOutputClosed = false;
  bool IsStopping = false;
  bool IsOpen = true;
};

} // namespace bw

#endif
