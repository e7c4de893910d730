#include "bw_gateway_daemon/status/status_service.h"

using namespace bw;

namespace {

// The pages are read with GET and take no body.
constexpr byte_count MaxBody = kibibytes(16);

} // namespace

status_service::status_service(std::string Name, status_service_options Options)
    : service(std::move(Name)) {
  http_server_options ServerOptions;
  ServerOptions.Address = Options.Address;
  ServerOptions.Port = Options.Port;
  ServerOptions.MaxBody = MaxBody;
  ServerOptions.OnRequest = [Pages = std::move(Options.Pages)](
                                const http_exchange_pointer &Exchange) {
    const auto Page = Pages.find(Exchange->request().Path);
    Exchange->respond(
        Page != Pages.end()
            ? Page->second()
            : http_response{.Status = 404, .Headers = {}, .Body = {}});
  };
  Server = std::make_unique<http_server>(std::move(ServerOptions));
}

void status_service::attach(service_registry &) {}

void status_service::start() { Server->start(); }

void status_service::stop() { Server->stop(); }
