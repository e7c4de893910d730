#ifndef BW_DAEMON_BACKEND_BACKEND_SERVICE_H
#define BW_DAEMON_BACKEND_BACKEND_SERVICE_H

#include "bw_daemon/answers/answer_relay.h"
#include "bw_daemon/decide/decide_events.h"
#include "bw_http/client/http_client.h"
#include "bw_kernel/services/service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bw {

/// A request to a backend server.
struct backend_call {
  attempt_id Attempt;
  /// `address:port` of the instance.
  std::string Address;
  std::string Method;
  /// Path with query.
  std::string Target;
  http_headers Headers;
  std::string Body;
  bool NeedsFreshConnection = false;
  std::chrono::milliseconds Timeout{30'000};
};

/// Duty *backend*: the connections to backend servers. Answers up to 64 KiB of
/// known length are handed over whole, larger ones by head, relay and end.
class backend_service : public service {
public:
  static constexpr std::string_view ServiceName = "backend";
  static constexpr byte_count WholeAnswerLimit = kibibytes(64);

  explicit backend_service(runtime_clock &Clock);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  /// Starts a call. Its events go to the decide ring. False when the command
  /// ring stays full: the call was not sent.
  bool send(backend_call Call);
  void cancel(const attempt_id &Attempt);

  /// Sends one GET on a new connection, outside of any attempt. The hook runs
  /// on the client's thread.
  void probe(const std::string &Address, const std::string &Target,
             std::chrono::milliseconds Timeout,
             std::function<void(const transfer_result &)> OnDone);

private:
  struct open_call;

  client_request clientRequest(backend_call Call,
                               const std::shared_ptr<open_call> &Open);
  void ended(const std::shared_ptr<open_call> &Open,
             const transfer_result &Result);
  std::shared_ptr<open_call> find(const attempt_id &Attempt);

  http_client Client;
  decide_ring *Decide = nullptr;
  std::mutex Mutex;
  std::map<attempt_id, std::shared_ptr<open_call>> Open;
};

} // namespace bw

#endif
