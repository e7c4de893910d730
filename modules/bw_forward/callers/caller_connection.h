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

/// What a connection tells its owner; called on the forwarding thread.
struct caller_connection_hooks {
  std::function<request_number()> NextNumber = [] { return request_number(); };
  std::function<time_point()> Now = [] { return time_point(); };
  /// A request is ready for a decision.
  std::function<void(const exchange_pointer &)> OnRequest =
      [](const exchange_pointer &) {};
  /// More of a streamed request's body was read.
  std::function<void(const exchange_pointer &)> OnBody =
      [](const exchange_pointer &) {};
  /// The caller is gone before its answer was complete.
  std::function<void(const exchange_pointer &)> OnLeft =
      [](const exchange_pointer &) {};
  /// The answer's bytes were written; there is room for more.
  std::function<void(const exchange_pointer &)> OnRoom =
      [](const exchange_pointer &) {};
  std::function<void(const std::shared_ptr<caller_connection> &)> OnClosed =
      [](const std::shared_ptr<caller_connection> &) {};
};

struct caller_connection_options {
  caller_limits Limits;
  /// Bodies up to this size are held so that they can be sent again.
  byte_count ReplayLimit = kibibytes(256);
  /// Requests of one connection that are worked on at a time.
  std::size_t MaxPipelined = 16;
};

/// A connection of a caller: reads requests, also while earlier ones are being
/// answered, and writes the answers in the order of the requests.
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

  /// Writes what the exchanges at the front have to say.
  void flush();
  /// Ends the answer of this exchange halfway, so that the caller sees that it
  /// is not whole.
  void abort();
  /// A streamed body was taken by a server; reads on.
  void resumeReading();

  /// Closes a connection that was idle or slow for too long.
  void checkTimeouts(time_point Now);
  /// Answers from now on close the connection; closes it at once if it is idle.
  void closeWhenIdle();
  /// The next answer closes the connection.
  void closeAfterNext() { IsStopping = true; }
  bool isIdle() const { return Queue.empty() && !Parser.isInMessage(); }

private:
  void readSome();
  void readable(asio::error_code Code);
  void parse(std::string_view Bytes);
  bool headRead(http1_head Head);
  void bodyRead(std::string_view Part);
  void requestRead();
  void announce();
  /// Answers what cannot be a request and closes the connection.
  void reject(int Status);
  void write();
  void written(asio::error_code Code);
  void finishOutput();
  void leave();
  void close();

  asio::ip::tcp::socket Socket;
  const caller_connection_options &Options;
  const caller_connection_hooks &Hooks;
  std::span<char> ReadBuffer;
  http1_parser Parser;
  std::deque<exchange_pointer> Queue;
  /// The request that is being read, also the last one of the queue.
  exchange_pointer Reading;
  /// Bytes behind a full queue.
  std::string Unparsed;
  std::string Writing;
  time_point LastActivity;
  /// Of the request that is being read.
  std::uint64_t BodySize = 0;
  bool IsBodyTooBig = false;
  bool IsReading = false;
  bool IsWriting = false;
  /// No further requests are read.
  bool IsInputClosed = false;
  bool IsOutputClosed = false;
  bool IsStopping = false;
  bool IsOpen = true;
};

} // namespace bw

#endif
