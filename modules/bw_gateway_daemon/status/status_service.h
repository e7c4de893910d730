#ifndef BW_GATEWAY_DAEMON_STATUS_STATUS_SERVICE_H
#define BW_GATEWAY_DAEMON_STATUS_STATUS_SERVICE_H

#include "bw_http/server/http_server.h"
#include "bw_kernel/services/service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bw {

struct status_service_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Handlers by path; called on the service's thread, must not block.
  std::map<std::string, std::function<http_response()>, std::less<>> Pages;
};

/// Service *status*: serves machine-readable pages such as readiness or
/// metrics.
class status_service : public service {
public:
  status_service(std::string Name, status_service_options Options);

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  std::uint16_t port() const { return Server->port(); }

private:
  std::unique_ptr<http_server> Server;
};

} // namespace bw

#endif
