#ifndef TESTS_SLOW_CLIENTS_TEST_SERVER_H
#define TESTS_SLOW_CLIENTS_TEST_SERVER_H

#include "bw_core/ids/identifiers.h"
#include "bw_forward/servers/relay_headers.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <thread>

namespace bw::slow_clients {

/// How a backend server treats requests.
enum class server_conduct : std::uint8_t {
  Answers,           ///< Answers at once.
  AnswersLate,       ///< Answers after half a second.
  AnswersByteByByte, ///< Sends one byte of its answers at a time.
  ReadsNothing,      ///< Accepts connections and never reads.
};

struct test_server_options {
  backend_server_id Server;
  relay_headers Headers;
  server_conduct Conduct = server_conduct::Answers;
};

/// A backend server on one thread, for many connections at a time. The path
/// `/.../x/N` asks for a body of N bytes, up to `LongestBody`.
class test_server {
public:
  static constexpr std::size_t LongestBody = 4'000'000;

  explicit test_server(test_server_options Options);
  ~test_server();
  test_server(const test_server &) = delete;
  test_server &operator=(const test_server &) = delete;

  std::uint16_t port() const { return Port; }

private:
  void accept();

  test_server_options Options;
  asio::io_context Context{1};
  asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::thread Thread;
};

} // namespace bw::slow_clients

#endif
