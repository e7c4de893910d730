#ifndef BW_HTTP_SERVER_HTTP_SERVER_H
#define BW_HTTP_SERVER_HTTP_SERVER_H

#include "bw_core/errors/error.h"
#include "bw_http/server/http_exchange.h"
#include "bw_resources/budget/budget_options.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bw {

/// The server cannot listen on its address.
class listen_error : public error {
public:
  listen_error(const std::string &Address, std::uint16_t Port,
               const std::string &Reason);
  std::string_view code() const override { return "listen_failed"; }
};

struct http_server_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  byte_count MaxBody = mebibytes(8);
  byte_count MaxTarget = kibibytes(8);
  byte_count MaxHeaderName{256};
  byte_count MaxHeaderValue = kibibytes(8);
  std::size_t MaxHeaderCount = 100;
  /// Longest time for reading one request.
  std::chrono::milliseconds ReadTimeout{60'000};
  /// Longest time between two parts of a response.
  std::chrono::milliseconds ResponseTimeout{3'600'000};
  /// What the connections may use together. At the limit of connections, the
  /// one that is idle for longest is closed, else one whose head is incomplete
  /// after 3 s or whose body has not gone on for 15 s, else the new one. At the
  /// limit of bytes, the one that holds most for longest is reset.
  process_budget_options Budget;
  /// The response to requests that are refused near the limit of bytes; they
  /// have not run.
  http_response Refusal = {
      .Status = 503, .Headers = {{"Retry-After", "1"}}, .Body = {}};
  /// Called on the server's thread for each request; must not block.
  std::function<void(http_exchange_pointer)> OnRequest =
      [](const http_exchange_pointer &Exchange) {
        Exchange->respond({.Status = 404, .Headers = {}, .Body = {}});
      };
};

/// HTTP/1.1 server with one thread of its own.
class http_server {
public:
  explicit http_server(http_server_options Options);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Listens and starts the thread. \throws listen_error
  void start();

  /// The port it listens on, also when the option asked for any (0).
  std::uint16_t port() const;

  /// Runs the hook on the server's thread. Thread-safe.
  void post(std::function<void()> Hook);

  /// Takes no new connections; responses to requests on open ones ask the
  /// client to close.
  void stopAccepting();

  /// Requests whose response is not yet ended.
  std::size_t openExchanges() const;

  /// Closes all connections and ends the thread.
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
