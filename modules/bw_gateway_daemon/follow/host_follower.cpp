#include "bw_gateway_daemon/follow/host_follower.h"

#include "bw_gateway_daemon/follow/host_announcement.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

host_follower::host_follower(runtime_clock &Clock,
                             host_follower_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      Thread(Clock, [this] { return poll(); }) {}

void host_follower::attach(service_registry &Registry) {
  State = &Registry.find<platform_state>(platform_state::ServiceName);
}

void host_follower::start() { Thread.start(); }

void host_follower::stop() {
  Options.Source.Cancel();
  Thread.stop();
}

// True if this host is listed and an aggregator reads the list for it.
bool host_follower::isDelegated() {
  const std::vector<gateway_host> Known = State->hosts();
  return std::find(Known.begin(), Known.end(), State->self()) != Known.end() &&
         State->withHosts([&](host_directory &Hosts, random_source &) {
           return !Hosts.followsHosts(Clock.now());
         });
}

duration host_follower::poll() {
  if (isDelegated())
    return Options.Interval;
  const auto IsUsable = [this](store_era Era) { return State->recordEra(Era); };
  const auto Reading = Options.Source.ReadHosts();
  if (!Reading || !State->recordEra(Reading->Era))
    return Options.RetryPause;
  // A copy of the store may not have the entry that was announced before.
  if (ReadEra < Reading->Era)
    ReadsUntilAnnouncement = 0;
  ReadEra = Reading->Era;
  const std::vector<gateway_host> &Hosts = Reading->Hosts;
  const bool IsListed =
      std::find(Hosts.begin(), Hosts.end(), State->self()) != Hosts.end();
  if (!IsListed && --ReadsUntilAnnouncement < 0) {
    if (!announceHost(Options.Source, State->self(), IsUsable))
      return Options.RetryPause;
    ReadsUntilAnnouncement = Options.InitialReads;
  }
  State->offerHosts(Hosts);
  removeGoneHosts();
  return ++Reads <= Options.InitialReads ? Options.InitialInterval
                                         : Options.Interval;
}

void host_follower::removeGoneHosts() {
  const std::vector<host_id> Gone =
      State->withHosts([&](host_directory &Hosts, random_source &) {
        return Hosts.hostsToRemove(Clock.now());
      });
  for (const host_id &Each : Gone)
    if (const host_write Removed = Options.Source.RemoveHost(Each);
        Removed.End == host_write_end::Written && State->recordEra(Removed.Era))
      logEvent(log_event::HostLeft, {{"host", Each.value()}});
}
