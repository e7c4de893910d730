#include "bw_gateway/routes/host_routes.h"

using namespace bw;

host_routes::host_routes(const gateway_configuration &Configuration) {
  for (const gateway_route &Route : Configuration.Routes)
    Hosts[Route.VirtualHost].emplace(Route.Prefix, &Route);
}

const gateway_route *host_routes::find(std::string_view VirtualHost,
                                       std::string_view Path) const {
  const auto Host = Hosts.find(VirtualHost);
  if (Host == Hosts.end())
    return nullptr;
  // Every prefix ends with a slash, so a match can only end at a slash.
  for (std::size_t Slash = Path.rfind('/'); Slash != Path.npos;
       Slash = Slash == 0 ? Path.npos : Path.rfind('/', Slash - 1)) {
    const auto Found = Host->second.find(Path.substr(0, Slash + 1));
    if (Found != Host->second.end())
      return Found->second;
  }
  return nullptr;
}
