#ifndef BW_FORWARD_CALLERS_CALLER_ACCEPTOR_H
#define BW_FORWARD_CALLERS_CALLER_ACCEPTOR_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bw {

/// Accepts the connections of callers.
class caller_acceptor {
public:
  /// `OnAccepted` is called on the thread of the context.
  caller_acceptor(asio::io_context &Context,
                  std::function<void(asio::ip::tcp::socket)> OnAccepted);

  /// Returns the port. \throws listen_error
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);
  void close();

private:
  void accept();

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::function<void(asio::ip::tcp::socket)> OnAccepted;
};

} // namespace bw

#endif
