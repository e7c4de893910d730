#ifndef BW_HTTP_SERVER_LIMITED_SOCKET_H
#define BW_HTTP_SERVER_LIMITED_SOCKET_H

#include "bw_http/server/connection_limiter.h"

#include <restinio/asio_include.hpp>

#include <optional>
#include <utility>

namespace bw {

/// The event loop of an HTTP server, which its sockets get when they are made.
struct server_context : public restinio::asio_ns::io_context {
  explicit server_context(connection_limiter_options Options)
      : Limiter(std::move(Options)) {}

  connection_limiter Limiter;
};

/// A socket of the HTTP library that reports its connection and the bytes that
/// it receives to the limiter. Internal to bw_http.
class limited_socket : public restinio::asio_ns::ip::tcp::socket {
public:
  using base = restinio::asio_ns::ip::tcp::socket;

  /// The context must be a `server_context`.
  explicit limited_socket(restinio::asio_ns::io_context &Context)
      : base(Context),
        Limiter(&static_cast<server_context &>(Context).Limiter) {}

  /// Opens the connection at the first call, when the socket has reached its
  /// final place in memory.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) { // NOLINT
    if (!std::exchange(HasBegun, true))
      open();
    auto Executor = restinio::asio_ns::get_associated_executor(OnRead);
    base::async_read_some(
        Target, restinio::asio_ns::bind_executor(
                    Executor, [this, Next = std::forward<Handler>(OnRead)](
                                  const restinio::asio_ns::error_code &Code,
                                  std::size_t Size) mutable {
                      // What the system has received before the end would
                      // still be read.
                      if (HasEnded)
                        return Next(AbortedCode, 0);
                      if (Size > 0)
                        Limiter->received(*Id, Size);
                      Next(Code, Size);
                    }));
  }

private:
  void open() {
    Id = Limiter->open([this](bool IsReset) { end(IsReset); });
    if (!Id)
      end(false);
  }

  // The library closes the socket when its read or write fails.
  void end(bool IsReset) {
    HasEnded = true;
    restinio::asio_ns::error_code Ignored;
    if (IsReset)
      set_option(restinio::asio_ns::socket_base::linger(true, 0), Ignored);
    shutdown(shutdown_both, Ignored);
  }

  inline static const restinio::asio_ns::error_code AbortedCode =
      restinio::asio_ns::error::connection_aborted;

  connection_limiter *Limiter;
  std::optional<http_connection_id> Id;
  bool HasBegun = false;
  bool HasEnded = false;
};

} // namespace bw

#endif
