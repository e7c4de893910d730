#include "bw_gateway_daemon/follow/server_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

server_follower::server_follower(runtime_clock &Clock,
                                 server_follower_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      Thread(Clock, [this] { return poll(); }) {}

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

duration server_follower::poll() {
  if (IsFirstPoll && Options.FirstReadDelay > duration::zero()) {
    IsFirstPoll = false;
    return Options.FirstReadDelay;
  }
  // Other hosts may have read the list during the last pause.
  const duration Wait = untilNextRead();
  if (Wait > Options.MinPause)
    return Wait;
  const bool WasAvailable = IsAvailable;
  IsAvailable = read();
  if (IsAvailable != WasAvailable)
    logEvent(IsAvailable ? log_event::PlatformRestored
                         : log_event::PlatformUnavailable,
             {{"duty", std::string(ServiceName)}});
  return IsAvailable ? untilNextRead() : Options.RetryPause;
}

bool server_follower::read() {
  const bool IsFullDue = !KnownRevision || CallsOfLastRead == 1 ||
                         Clock.now() - LastFullRead >= Options.FullReadInterval;
  if (!IsFullDue && readChanges())
    return true;
  return readAll();
}

bool server_follower::readAll() {
  std::optional<servers_reading> Reading = Options.Source.ReadServers();
  if (!Reading) {
    KnownRevision.reset();
    return false;
  }
  LastFullRead = Clock.now();
  CallsOfLastRead = Reading->Calls;
  KnownRevision = Reading->List.Revision;
  Known.clear();
  for (const listed_server &Each : Reading->List.Servers)
    Known.emplace(Each.Server, Each);
  State->offerServersRead(std::move(Reading->List));
  return true;
}

bool server_follower::readChanges() {
  servers_watch Changes = Options.Source.ReadServerChanges(*KnownRevision);
  if (Changes.End != watch_end::Changed)
    return false;
  for (server_change_entry &Each : Changes.Changes) {
    if (Each.Now)
      Known.insert_or_assign(Each.Server, std::move(*Each.Now));
    else
      Known.erase(Each.Server);
  }
  KnownRevision = Changes.Revision;
  servers_listed List{.Revision = Changes.Revision, .Servers = {}};
  for (const auto &[Name, Server] : Known)
    List.Servers.push_back(Server);
  State->offerServersRead(std::move(List));
  return true;
}
