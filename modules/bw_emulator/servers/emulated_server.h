#ifndef BW_EMULATOR_SERVERS_EMULATED_SERVER_H
#define BW_EMULATOR_SERVERS_EMULATED_SERVER_H

#include "bw_core/random/random_source.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/clock/runtime_clock.h"

#include <asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace bw {

/// A request as it reached a server.
struct server_arrival {
  backend_server_id Server;
  service_id Service;
  request_label Label;
  std::string Method;
  std::string Target;
  http_headers Headers;
  std::string Body;
  /// It was declined, with the promise that it never runs.
  bool IsDeclined = false;
  time_point At{};
};

/// Gray failures. Shares are of the requests that have a slot or would get one.
struct emulated_faults {
  double ErrorShare = 0;
  double HangShare = 0;
  double DeclineShare = 0;
  /// Answers whose body breaks off halfway.
  double TruncateShare = 0;
  /// Answers and refusals whose body does not end before the caller closes.
  double EndlessShare = 0;
  /// Answers with a head that is not valid, and another body.
  double MalformedShare = 0;
  double SlowFactor = 1;
};

struct emulated_server_options {
  backend_server_id Server;
  service_id Service;
  relay_headers Headers;
  slot_count Slots{4};
  std::size_t QueueLength = 8;
  /// Mean time of work.
  duration Work = std::chrono::milliseconds(20);
  std::uint64_t Seed = 1;
  /// Called from the server's thread for each request.
  std::function<void(const server_arrival &)> OnArrival =
      [](const server_arrival &) {};
};

/// Body that the server gives for a request, and that a caller can check.
std::string emulatedBody(const request_label &Label, std::string_view Target,
                         std::size_t Size);
/// Proof that a server answered the request.
std::string emulatedSignature(const backend_server_id &Server,
                              const request_label &Label);

/// A backend server with slots and a queue, on one thread. The path `/x/N/...`
/// asks for a body of N bytes. Answers what the headers of the options say.
class emulated_server {
public:
  emulated_server(runtime_clock &Clock, emulated_server_options Options);
  ~emulated_server();
  emulated_server(const emulated_server &) = delete;
  emulated_server &operator=(const emulated_server &) = delete;

  void start();
  void stop();
  std::uint16_t port() const { return Server.port(); }
  /// Thread-safe.
  void setFaults(emulated_faults NewFaults);

private:
  struct waiting_request {
    http_exchange_pointer Exchange;
    request_label Label;
    std::shared_ptr<bool> IsClosed;
  };

  void receive(const http_exchange_pointer &Exchange);
  void decline(const http_exchange_pointer &Exchange, int Status);
  void run(waiting_request Request);
  void answer(const waiting_request &Request, const emulated_faults &Faults);
  void answerEndlessly(const waiting_request &Request, http_headers Headers);
  void slotFreed();
  emulated_faults faults() const;

  runtime_clock &Clock;
  emulated_server_options Options;
  random_source Random;
  http_server Server;
  /// Times the work; its handlers go on to the server's thread.
  asio::io_context Timers;
  std::thread TimerThread;
  mutable std::mutex Mutex;
  emulated_faults Faults;
  std::uint32_t Busy = 0;
  std::deque<waiting_request> Queue;
};

} // namespace bw

#endif
