#include "bw_gateway_daemon/follow/server_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

server_follower::server_follower(runtime_clock &Clock,
                                 server_follower_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      Thread(Clock, [this] { return round(); }) {}

void server_follower::attach(service_registry &Registry) {
  State = &Registry.find<platform_state>(platform_state::ServiceName);
}

void server_follower::start() { Thread.start(); }

void server_follower::stop() {
  Options.Source.Cancel();
  Thread.stop();
}

duration server_follower::untilNextRead() {
  return State->withHosts([&](host_directory &Hosts, random_source &Random) {
    const time_point Now = Clock.now();
    return std::max<duration>(duration::zero(),
                              Hosts.nextListRead(Now, Random) - Now);
  });
}

duration server_follower::round() {
  // Others may have read the list since this pause was chosen.
  const duration Wait = untilNextRead();
  if (Wait > Options.ShortestPause)
    return Wait;
  std::optional<servers_listed> Reading = Options.Source.ReadServers();
  const bool WasAvailable = IsAvailable;
  IsAvailable = Reading.has_value();
  if (IsAvailable != WasAvailable)
    logEvent(IsAvailable ? log_event::PlatformRestored
                         : log_event::PlatformUnavailable,
             {{"duty", std::string(ServiceName)}});
  if (!Reading)
    return Options.RetryPause;
  State->offerServers(std::move(*Reading));
  return untilNextRead();
}
