#include "bw_gateway_daemon/follow/server_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

using namespace bw;

server_follower::server_follower(runtime_clock &Clock,
                                 server_follower_options GivenOptions)
    : service(std::string(ServiceName)),
      Options(std::move(GivenOptions)),
      Thread(Clock, [this] { return round(); }) {}

void server_follower::attach(service_registry &Registry) {
  Decide = &Registry.find<gateway_event_sink>(gateway_event_sink::ServiceName)
                .events();
}

void server_follower::start() { Thread.start(); }

void server_follower::stop() { Thread.stop(); }

duration server_follower::round() {
  std::optional<servers_listed> Reading = Options.Source.ReadServers();
  const bool WasAvailable = IsAvailable;
  IsAvailable = Reading.has_value();
  if (IsAvailable != WasAvailable)
    logEvent(IsAvailable ? log_event::PlatformRestored
                         : log_event::PlatformUnavailable,
             {{"duty", std::string(ServiceName)}});
  if (!Reading)
    return Options.RetryPause;
  Decide->push(std::move(*Reading));
  return Options.Interval;
}
