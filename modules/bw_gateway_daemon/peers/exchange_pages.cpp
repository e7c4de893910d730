#include "bw_gateway_daemon/peers/exchange_pages.h"

#include "bw_gateway_daemon/peers/exchange_fetch_service.h"
#include "bw_gateway_daemon/peers/exchange_messages.h"

using namespace bw;

namespace {

constexpr int Ok = 200;
constexpr int ServiceUnavailable = 503;

http_response servers(const platform_state &State) {
  const auto Known = State.servers();
  if (!Known)
    return {.Status = ServiceUnavailable, .Headers = {}, .Body = {}};
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      State.ownState().ListAge);
  return {.Status = Ok,
          .Headers = {{"Age-Ms", std::to_string(Age.count())}},
          .Body = encodeServers(*Known)};
}

http_response configuration(const platform_state &State) {
  const auto Known = State.configuration();
  if (!Known)
    return {.Status = ServiceUnavailable, .Headers = {}, .Body = {}};
  return {.Status = Ok, .Headers = {}, .Body = encodeConfiguration(*Known)};
}

http_response hosts(const platform_state &State) {
  std::vector<gateway_host> Known = State.hosts();
  Known.push_back(State.self());
  return {.Status = Ok, .Headers = {}, .Body = encodeHosts(Known)};
}

} // namespace

std::map<std::string, std::function<http_response()>, std::less<>>
bw::exchangePages(const platform_state &State) {
  return {
      {exchangePath(exchange_item::Servers),
       [&State] { return servers(State); }},
      {exchangePath(exchange_item::Configuration),
       [&State] { return configuration(State); }},
      {exchangePath(exchange_item::Hosts), [&State] { return hosts(State); }}};
}
