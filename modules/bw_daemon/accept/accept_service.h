#ifndef BW_DAEMON_ACCEPT_ACCEPT_SERVICE_H
#define BW_DAEMON_ACCEPT_ACCEPT_SERVICE_H

#include "bw_daemon/accept/caller_answer.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/rings/bounded_ring.h"
#include "bw_kernel/services/service.h"

#include <atomic>
#include <functional>
#include <string>

namespace bw {

struct accept_service_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  byte_count MaxBody = mebibytes(8);
  /// What the process may use.
  process_limits Limits;
  /// Called for each request on the accept thread; must not block.
  std::function<void(http_exchange_pointer)> OnRequest =
      [](const http_exchange_pointer &Exchange) {
        Exchange->respond({.Status = 503, .Headers = {}, .Body = {}});
      };
};

/// Duty *accept*: reads the requests of callers and operators, and writes the
/// answers that other duties put on its ring.
class accept_service : public service {
public:
  static constexpr std::string_view ServiceName = "accept";

  accept_service(runtime_clock &Clock, const accept_service_options &Options);

  /// Replaces the hook. Call it in `attach` of the service that handles them.
  void setOnRequest(std::function<void(http_exchange_pointer)> Hook);

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  /// Takes no new connections; requests that are open go on.
  void stopAccepting() { Server.stopAccepting(); }
  std::size_t openExchanges() const { return Server.openExchanges(); }
  std::uint16_t port() const { return Server.port(); }

  bounded_ring<caller_answer> &answers() { return Answers; }

private:
  void takeAnswers();
  static void carryOut(caller_answer Answer);

  std::function<void(http_exchange_pointer)> OnRequest;
  http_server Server;
  bounded_ring<caller_answer> Answers;
  std::atomic<bool> IsWoken = false;
};

} // namespace bw

#endif
