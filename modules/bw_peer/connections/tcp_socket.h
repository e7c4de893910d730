#ifndef BW_PEER_CONNECTIONS_TCP_SOCKET_H
#define BW_PEER_CONNECTIONS_TCP_SOCKET_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bw {

struct tcp_socket_state;

struct tcp_socket_hooks {
  /// Valid during the call.
  std::function<void(std::string_view)> OnBytes;
  /// The last `write` has left; the next one may follow.
  std::function<void()> OnWritten;
  /// The other side closed, or the connection broke. Called at most once and
  /// not after `close`.
  std::function<void(const std::string &Detail)> OnBroken;
};

/// A connected TCP socket of an event loop. Its thread only. Closed when
/// destroyed, which must not happen inside one of its hooks.
class tcp_socket {
public:
  explicit tcp_socket(std::shared_ptr<tcp_socket_state> State);
  ~tcp_socket();
  tcp_socket(const tcp_socket &) = delete;
  tcp_socket &operator=(const tcp_socket &) = delete;

  /// Begins to read.
  void start(tcp_socket_hooks Hooks);
  /// One write at a time.
  void write(std::string Bytes);
  /// No hook is called afterwards.
  void close();

private:
  std::shared_ptr<tcp_socket_state> State;
};

} // namespace bw

#endif
