#ifndef BW_DAEMON_FRONTEND_FRONT_DESK_H
#define BW_DAEMON_FRONTEND_FRONT_DESK_H

#include "bw_http/server/http_exchange.h"
#include "bw_kernel/services/service.h"
#include "bw_operations/credentials/credential_check.h"

#include <functional>
#include <string>
#include <vector>

namespace bw {

class accept_service;
class decide_service;
class platform_service;

/// Sorts what arrives at the accept duty: operators' calls go to the platform
/// duty, callers' requests to the decide duty. Works on the accept thread.
class front_desk : public service {
public:
  static constexpr std::string_view ServiceName = "front_desk";

  explicit front_desk(const std::vector<stored_credential> &Operators);

  /// Text of `GET /metrics`.
  void setMetrics(std::function<std::string()> Hook) {
    Metrics = std::move(Hook);
  }

  void attach(service_registry &Registry) override;
  void start() override {}
  void stop() override {}

private:
  void receive(const http_exchange_pointer &Exchange);
  void receiveCall(const http_exchange_pointer &Exchange);

  credential_check Operators;
  std::function<std::string()> Metrics = [] { return std::string(); };
  accept_service *Accept = nullptr;
  decide_service *Decide = nullptr;
  platform_service *Platform = nullptr;
};

} // namespace bw

#endif
