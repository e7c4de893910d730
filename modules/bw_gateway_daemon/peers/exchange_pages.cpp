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

// Many hosts fetch the same configuration at about the same time, so its
// encoding is kept.
class configuration_page {
public:
  configuration_page(const platform_state &State, const runtime_clock &Clock,
                     transfer_pacer_options Pacing)
      : State(State), Clock(Clock), Pacer(Pacing) {}

  http_response operator()() {
    auto Known = State.configuration();
    if (!Known)
      return {.Status = ServiceUnavailable, .Headers = {}, .Body = {}};
    if (Known != Encoded) {
      Body = encodeConfiguration(*Known);
      Encoded = std::move(Known);
    }
    if (!Pacer.tryStart(byte_count(Body.size()), Clock.now()))
      return {.Status = ServiceUnavailable, .Headers = {}, .Body = {}};
    return {.Status = Ok, .Headers = {}, .Body = Body};
  }

private:
  const platform_state &State;
  const runtime_clock &Clock;
  transfer_pacer Pacer;
  std::shared_ptr<const gateway_configuration> Encoded;
  std::string Body;
};

http_response hosts(const platform_state &State) {
  std::vector<gateway_host> Known = State.hosts();
  Known.push_back(State.self());
  return {.Status = Ok, .Headers = {}, .Body = encodeHosts(Known)};
}

} // namespace

std::map<std::string, std::function<http_response()>, std::less<>>
bw::exchangePages(const platform_state &State, const runtime_clock &Clock,
                  transfer_pacer_options Pacing) {
  return {
      {exchangePath(exchange_item::Servers),
       [&State] { return servers(State); }},
      {exchangePath(exchange_item::Configuration),
       configuration_page(State, Clock, Pacing)},
      {exchangePath(exchange_item::Hosts), [&State] { return hosts(State); }}};
}
