#ifndef BW_FORWARD_CALLERS_CALLER_CONNECTION_H
#define BW_FORWARD_CALLERS_CALLER_CONNECTION_H

#include "bw_core/ids/time.h"
#include "bw_forward/callers/caller_exchange.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_resources/budget/close_reason.h"
#include "bw_resources/budget/process_budget.h"

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
  /// True if the response to the request may be long.
  std::function<bool(const caller_exchange &)> ExpectsLongResponse =
      [](const caller_exchange &) { return false; };
  /// What the attempts of a request hold now.
  std::function<attempt_holding(request_number)> HeldByAttempts =
      [](request_number) { return attempt_holding(); };
  /// The caller disconnected before its response was complete.
  std::function<void(const exchange_pointer &)> OnDisconnected =
      [](const exchange_pointer &) {};
  /// The pending response bytes were written; more can be accepted.
  std::function<void(const exchange_pointer &)> OnOutputWritten =
      [](const exchange_pointer &) {};
  /// Reading of a body pauses until `resumeReading`.
  std::function<void(const std::shared_ptr<caller_connection> &)> OnPaused =
      [](const std::shared_ptr<caller_connection> &) {};
  /// The bytes held for all callers have reached their limit.
  std::function<void()> OnOverLimit = [] {};
  /// The connection is being closed because of a limit.
  std::function<void(close_reason)> OnLimit = [](close_reason) {};
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
/// responses in the order of the requests. A request is passed on only when the
/// responses ahead of it are within the caller's share of the buffers and none
/// of them is long and incomplete.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// The options, the hooks, the budget and the buffer must outlive the
  /// connection.
  caller_connection(asio::ip::tcp::socket Socket,
                    const caller_connection_options &Options,
                    const caller_connection_hooks &Hooks,
                    process_budget &Budget, std::span<char> ReadBuffer);
  caller_connection(const caller_connection &) = delete;
  caller_connection &operator=(const caller_connection &) = delete;

  void start();

  /// Writes the pending output of the exchanges at the front of the queue.
  void flush();
  /// Resets the connection, so that the caller can detect that the response is
  /// incomplete.
  void abort();
  /// Resets the connection because of a limit.
  void closeForLimit(close_reason Reason);
  /// Continues reading after a server accepted part of a streamed body, or
  /// when bodies may be read again.
  void resumeReading();
  /// Reports to the budget what the connection holds.
  void updateBudget();

  /// Closes the connection if it has been idle or slow for too long.
  void checkTimeouts(time_point Now);
  /// Closes the connection after the pending responses, or at once if it is
  /// idle.
  void closeWhenIdle();
  /// Closes the connection after the response to the next request.
  void closeAfterNextResponse() { IsStopping = true; }
  bool isIdle() const { return Queue.empty() && !Parser.isInMessage(); }
  /// True if the caller gets this response next.
  bool isNext(const caller_exchange &Exchange) const {
    return !Queue.empty() && Queue.front().get() == &Exchange;
  }
  /// Bytes that are being written to the caller.
  std::size_t writingBytes() const { return Writing.size(); }
  connection_number number() const { return Number; }

private:
  bool mayRead() const;
  bool mayParse() const;
  void continueInput();
  void readSome();
  void readable(asio::error_code Code);
  void parse(std::string_view Bytes);
  bool headRead(http1_head Head);
  void bodyRead(std::string_view Part);
  void requestRead();
  /// Passes on the requests that need not wait.
  void dispatchReady();
  exchange_pointer nextToDispatch() const;
  bool hasWaitingRequest() const;
  void noteWaiting(caller_exchange &Exchange) const;
  /// Responds to an invalid request with an error and closes the connection.
  void reject(int Status);
  void write();
  void writeSome();
  void written(asio::error_code Code, std::size_t Size);
  void finishOutput();
  /// False if the caller has taken nothing of the output for too long.
  bool checkOutput(time_point Now);
  void disconnect();
  void close();

  asio::ip::tcp::socket Socket;
  const caller_connection_options &Options;
  const caller_connection_hooks &Hooks;
  process_budget &Budget;
  connection_number Number;
  std::span<char> ReadBuffer;
  http1_parser Parser;
  std::deque<exchange_pointer> Queue;
  /// The request being read; it is also the last element of the queue.
  exchange_pointer Reading;
  /// Bytes received while the queue was full or a request waited.
  std::string Unparsed;
  std::string Writing;
  /// Bytes of `Writing` that the socket has accepted.
  std::size_t Written = 0;
  /// Bytes of an incomplete head.
  std::size_t PartialHead = 0;
  time_point LastActivity;
  /// When the head that is being read began, or the last response ended if that
  /// was later.
  time_point HeadStarted;
  /// When the caller last took some of the output.
  time_point LastOutput;
  /// Bytes in the socket's buffer at the last check.
  std::size_t LastUnsent = 0;
  /// Body bytes received so far of the request being read.
  std::uint64_t BodySize = 0;
  bool IsBodyTooBig = false;
  bool IsReading = false;
  bool IsWriting = false;
  bool IsParsing = false;
  /// The socket's buffer may hold bytes that the caller has not received.
  bool HasUnsent = false;
  /// The response that closes the connection is being written.
  bool IsClosing = false;
  /// No further requests are parsed.
  bool IsInputClosed = false;
  bool IsOutputClosed = false;
  bool IsStopping = false;
  bool IsOpen = true;
};

} // namespace bw

#endif
