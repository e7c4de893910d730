#ifndef BW_HTTP_SERVER_CONNECTION_LIMITER_H
#define BW_HTTP_SERVER_CONNECTION_LIMITER_H

#include "bw_core/ids/time.h"
#include "bw_resources/budget/close_reason.h"
#include "bw_resources/budget/process_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace bw {

/// Identifies a connection of one HTTP server.
using http_connection_id = strong_number<struct http_connection_id_tag>;

struct connection_limiter_options {
  process_budget_options Budget;
  std::function<time_point()> Now = [] { return time_point(); };
  /// Runs a function later on the server's thread.
  std::function<void(std::function<void()>)> Post =
      [](const std::function<void()> &) {};
  /// A connection is closed because of a limit; called on the server's thread.
  std::function<void(close_reason)> OnLimit = [](close_reason) {};
};

/// Applies a `process_budget` to the connections of an HTTP server: counts what
/// each of them holds and closes connections at the limits. Responses may be
/// reported by any thread, everything else by the server's thread.
class connection_limiter {
public:
  /// Closes the socket; `IsReset` discards what it still has to send.
  using close_hook = std::function<void(bool IsReset)>;

  explicit connection_limiter(connection_limiter_options Options);
  connection_limiter(const connection_limiter &) = delete;
  connection_limiter &operator=(const connection_limiter &) = delete;

  /// Names the connection that is opened next.
  void accepted(http_connection_id Id) { Accepted = Id; }
  /// Adds the connection. Closes another one if there is no room, or returns
  /// nothing if this one is to be closed.
  std::optional<http_connection_id> open(close_hook Close);
  void closed(http_connection_id Id);
  /// Closes the socket of the connection in order.
  void disconnect(http_connection_id Id);

  /// Some bytes of a request were received.
  void received(http_connection_id Id, std::size_t Size);
  /// The socket has taken some bytes of a response.
  void progressed(http_connection_id Id);
  /// A whole request was received. Returns what it holds until `requestEnded`.
  byte_count requestBegan(http_connection_id Id);
  void requestEnded(http_connection_id Id, byte_count Held);
  /// Closes connections whose requests arrive too slowly if the bytes are used
  /// up. Returns false if a new request is to be refused.
  bool makeRoomForRequest();

  /// Bytes of a response were queued, or are queued no longer.
  void responseQueued(http_connection_id Id, std::size_t Size);
  void responseWritten(http_connection_id Id, std::size_t Size);

  budget_usage usage() const;

private:
  struct connection {
    connection_number Number;
    close_hook Close;
    /// Bytes of the request that is being received.
    std::size_t Reading = 0;
    time_point ReadingSince;
    time_point LastReceived;
    /// Memory of whole requests without a complete response.
    std::uint64_t RequestBytes = 0;
    std::uint32_t Requests = 0;
    std::uint64_t ResponseBytes = 0;
  };
  using connection_map = std::unordered_map<http_connection_id, connection>;

  template <typename Change> void update(http_connection_id Id, Change Apply);
  bool makeRoom();
  connection_map::iterator find(connection_number Number);
  /// The connection whose request arrives too slowly for longest.
  connection_map::iterator slowestRequest();
  void close(connection_map::iterator Closed, close_reason Reason);
  void resetOverLimit();

  connection_limiter_options Options;
  mutable std::mutex Mutex;
  process_budget Budget;
  connection_map Connections;
  http_connection_id Accepted;
  bool IsResetPosted = false;
};

} // namespace bw

#endif
