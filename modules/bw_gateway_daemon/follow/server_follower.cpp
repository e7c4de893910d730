#include "bw_gateway_daemon/follow/server_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

namespace {

// Full reads of a list that takes long are this many times their length apart,
// so that entries of other writers do not take the processor.
constexpr int FullReadSpacing = 10;

} // namespace

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
  // A list that is not used does not put off the next reading.
  return IsAvailable && !IsOutdated ? untilNextRead() : Options.RetryPause;
}

bool server_follower::read() {
  const bool IsFullDue =
      !KnownPosition || CallsOfLastRead == 1 || Clock.now() >= NextFullRead;
  // A long list is read in several calls; the list in use stays up to date
  // meanwhile.
  if ((!IsFullDue || IsReadingOn) && readChanges() && !IsReadingOn)
    return true;
  return readAll();
}

bool server_follower::readAll() {
  const time_point Before = Clock.now();
  std::optional<servers_reading> Reading = Options.Source.ReadServers();
  if (!Reading || !State->recordEra(Reading->List.Position.Era)) {
    KnownPosition.reset();
    IsReadingOn = false;
    return false;
  }
  TimeOfFullRead = (IsReadingOn ? TimeOfFullRead : duration::zero()) +
                   (Clock.now() - Before);
  IsReadingOn = !Reading->IsComplete;
  if (IsReadingOn)
    return true;
  NextFullRead =
      Clock.now() + std::max<duration>(Options.FullReadInterval,
                                       TimeOfFullRead * FullReadSpacing);
  CallsOfLastRead = Reading->Calls;
  KnownPosition = Reading->List.Position;
  Known.clear();
  for (const listed_server &Each : Reading->List.Servers)
    Known.emplace(Each.Server, Each);
  offer(std::move(Reading->List));
  return true;
}

void server_follower::offer(servers_listed List) {
  IsOutdated = !State->offerServersRead(std::move(List));
}

bool server_follower::readChanges() {
  if (!KnownPosition)
    return false;
  servers_watch Changes = Options.Source.ReadServerChanges(
      *KnownPosition,
      [this](const backend_server_id &Each) { return Known.contains(Each); });
  // Changes of another era are not changes of the list that is known here.
  if (Changes.End != watch_end::Changed ||
      !State->recordEra(Changes.Position.Era) ||
      !KnownPosition->isContinuedBy(Changes.Position))
    return false;
  for (server_change_entry &Each : Changes.Changes) {
    if (Each.Now)
      Known.insert_or_assign(Each.Server, std::move(*Each.Now));
    else
      Known.erase(Each.Server);
  }
  KnownPosition = Changes.Position;
  servers_listed List{.Position = Changes.Position, .Servers = {}};
  for (const auto &[Name, Server] : Known)
    List.Servers.push_back(Server);
  offer(std::move(List));
  return true;
}
