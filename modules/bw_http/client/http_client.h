#ifndef BW_HTTP_CLIENT_HTTP_CLIENT_H
#define BW_HTTP_CLIENT_HTTP_CLIENT_H

#include "bw_core/ids/units.h"
#include "bw_http/messages/http_messages.h"
#include "bw_kernel/clock/runtime_clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bw {

using transfer_id = strong_number<struct transfer_id_tag>;

/// How a transfer ended.
enum class transfer_status {
  Complete,      ///< The whole response was received.
  ConnectFailed, ///< No connection; the request was certainly not sent.
  Broken,        ///< The connection failed or ended early.
  TimedOut,
  Cancelled,
};

struct transfer_result {
  transfer_status Status = transfer_status::Broken;
  /// Some byte of the request went out, so the server may have acted on it.
  bool WasSent = false;
  /// HTTP status, 0 when no response head came.
  int HttpStatus = 0;
  byte_count Received;
  duration Elapsed{};
  /// Local port of the connection: tells connections to one server apart.
  std::uint16_t LocalPort = 0;
};

struct client_request {
  std::string Method = "GET";
  std::string Url;
  http_headers Headers;
  std::string Body;
  /// Uses a connection of its own. libcurl silently repeats a request when a
  /// reused connection dies before the first byte of the response, so requests
  /// that must not run twice need this.
  bool NeedsFreshConnection = false;
  std::chrono::milliseconds ConnectTimeout{1'000};
  /// For the whole transfer; 0 means no limit.
  std::chrono::milliseconds Timeout{30'000};
  /// Longest time until the first byte of the response, and between its later
  /// parts; 0 means no limit. Used by blocking calls only.
  std::chrono::milliseconds FirstByteTimeout{0};
  std::chrono::milliseconds IdleTimeout{0};
  /// Longest body of the response; a longer one breaks the transfer. Without a
  /// value, blocking calls use `DefaultBodyLimit`, and others have no limit.
  std::optional<byte_count> BodyLimit = {};
  /// Takes the body of a blocking call part by part, with the status, in place
  /// of `http_response::Body`. It may belong to a transfer that breaks.
  std::function<void(int Status, std::string_view Part)> BodySink = {};

  /// All hooks are called on the client's thread and must not block.
  std::function<void(int Status, const http_headers &)> OnHead =
      [](int, const http_headers &) {};
  /// Returns false to pause the transfer after this part, until `resume`.
  std::function<bool(std::string_view)> OnBody = [](std::string_view) {
    return true;
  };
  std::function<void(const transfer_result &)> OnDone =
      [](const transfer_result &) {};
};

struct http_client_options {
  std::size_t CommandCapacity = 4096;
  /// Most connections to one server.
  long MaxConnectionsPerHost = 330;
  /// Idle connections kept open over all servers.
  long MaxIdleConnections = 256;
};

/// Many transfers at a time on one thread of its own.
class http_client {
public:
  http_client(runtime_clock &Clock, http_client_options Options);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  void start();
  /// Cancels what is open and ends the thread.
  void stop();

  /// Starts a transfer. Returns an id of 0 when the command ring is full; no
  /// hook is called then. Thread-safe.
  transfer_id send(client_request Request);
  void cancel(transfer_id Id);
  void resume(transfer_id Id);

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
