#include "bw_daemon/frontend/front_desk.h"

#include "bw_daemon/accept/accept_service.h"
#include "bw_daemon/decide/decide_service.h"
#include "bw_daemon/platform/platform_service.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

using namespace bw;

namespace {

constexpr std::string_view CallPrefix = "/rpc/";
constexpr std::string_view ReadyPath = "/bw/v1/ready";
constexpr std::string_view MetricsPath = "/metrics";

} // namespace

front_desk::front_desk(const std::vector<stored_credential> &Operators)
    : service(std::string(ServiceName)), Operators(Operators) {}

void front_desk::attach(service_registry &Registry) {
  Accept = &Registry.find<accept_service>(accept_service::ServiceName);
  Decide = &Registry.find<decide_service>(decide_service::ServiceName);
  Platform = &Registry.find<platform_service>(platform_service::ServiceName);
  Accept->setOnRequest(
      [this](const http_exchange_pointer &Exchange) { receive(Exchange); });
}

void front_desk::receive(const http_exchange_pointer &Exchange) {
  const std::string_view Path = Exchange->request().Path;
  if (Path.starts_with(CallPrefix)) {
    receiveCall(Exchange);
    return;
  }
  if (Path == ReadyPath) {
    const bool IsReady = Decide->isReady();
    Exchange->respond({.Status = IsReady ? 200 : 503,
                       .Headers = {},
                       .Body = IsReady ? "ready\n" : "not ready\n"});
    return;
  }
  if (Path == MetricsPath) {
    Exchange->respond(
        {.Status = 200,
         .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
         .Body = Metrics()});
    return;
  }
  // The accept thread must not wait for the decide thread, so a full ring
  // refuses at once.
  if (!Decide->events().tryPush(caller_arrived{Exchange}))
    Exchange->respond(busyResponse(Exchange->request(), "overloaded"));
}

void front_desk::receiveCall(const http_exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  const credential_result Credential =
      Operators.check(Request.Headers.find("Authorization"));
  if (Credential.Outcome != credential_outcome::Valid ||
      Request.Method != "POST") {
    const bool IsKnown = Credential.Outcome == credential_outcome::Valid;
    logEvent(log_event::OperatorCallRefused, {{"path", Request.Path}});
    Exchange->respond(
        refusalResponse({IsKnown ? 405 : 401, IsKnown ? "method_not_allowed"
                                                      : "credential_refused"}));
    return;
  }
  Platform->send(operator_call{
      Request.Path, Request.Body, operator_id(Credential.Name),
      std::make_shared<caller_requester>(Exchange, Accept->answers())});
}
