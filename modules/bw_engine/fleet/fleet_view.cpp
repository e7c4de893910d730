#include "bw_engine/fleet/fleet_view.h"

#include <algorithm>

using namespace bw;

fleet_view::fleet_view(fleet_view_options GivenOptions)
    : Options(std::move(GivenOptions)), Owners({.Self = Options.Self.Host}),
      Picker(Owners, {.OwnDataCentre = Options.DataCentre}) {
  Daemons.emplace(Options.Self.Host, Options.Self);
}

void fleet_view::setSelfReady(bool IsReady, time_point Now) {
  if (IsReady)
    Owners.addHost(Options.Self.Host, Options.DataCentre, Now, Now);
  else
    Owners.removeHost(Options.Self.Host, Now);
}

void fleet_view::apply(const std::vector<membership_event> &Events,
                       time_point Now) {
  for (const membership_event &Event : Events) {
    const host_id &Host = Event.Daemon.Host;
    switch (Event.Change) {
    case membership_change::Joined:
      Daemons[Host] = Event.Daemon;
      Owners.addHost(Host, Event.DataCentre, Now, Now);
      break;
    case membership_change::Restarted:
      // The new incarnation is subject to the takeover delay, as any new host.
      Owners.removeHost(Host, Now);
      Daemons[Host] = Event.Daemon;
      Owners.addHost(Host, Event.DataCentre, Now, Now);
      break;
    case membership_change::Suspected:
      // Entry hosts assess owners by their answers. Ownership moves only when
      // the host is dead, so that a single lost heartbeat moves no instances.
      break;
    case membership_change::Dead:
    case membership_change::Left:
      Owners.removeHost(Host, Now);
      break;
    }
  }
}

std::vector<server_event>
fleet_view::updateServers(const std::vector<listed_server> &List,
                          time_point Now) {
  std::vector<server_event> Events = Servers.updateList(List, Now);
  apply(Events);
  return Events;
}

std::vector<server_event> fleet_view::drainSeen(const drain_sign &Sign,
                                                time_point Now) {
  std::vector<server_event> Events = Servers.drainSeen(Sign, Now);
  apply(Events);
  return Events;
}

void fleet_view::apply(const std::vector<server_event> &Events) {
  for (const server_event &Event : Events) {
    const listed_server &Server = Event.Server;
    switch (Event.Change) {
    case server_change::Added:
    case server_change::Changed:
      addServer(Server);
      break;
    case server_change::Restarted:
      addServer(Server);
      Picker.setLeaving(Server.Server, false);
      break;
    case server_change::Leaving:
      // Keep it in the maps, as its owner still completes requests in flight.
      if (Owners.indexOf(Server.Server))
        Picker.setLeaving(Server.Server, true);
      break;
    case server_change::Removed:
      removeServer(Server.Server);
      break;
    }
  }
}

void fleet_view::addServer(const listed_server &Server) {
  Owners.addInstance(Server.Server, Server.DataCentre);
  Picker.addInstance({.Name = Server.Server,
                      .Service = Server.Service,
                      .DataCentre = Server.DataCentre,
                      .Slots = Server.Slots});
}

void fleet_view::removeServer(const backend_server_id &Server) {
  if (!Owners.indexOf(Server))
    return;
  Picker.removeInstance(Server);
  Owners.removeInstance(Server);
}

void fleet_view::tick(time_point Now) { Owners.tick(Now); }

std::optional<daemon_id> fleet_view::daemonOf(const host_id &Host) const {
  const auto Found = Daemons.find(Host);
  if (Found == Daemons.end())
    return std::nullopt;
  return Found->second;
}

std::vector<host_id> fleet_view::otherOwners(const service_id &Service) const {
  std::vector<host_id> Result;
  for (const listed_server &Server : Servers.usable(Service)) {
    const host_id Owner = Owners.find(Server.Server).Owner;
    if (!Owner.empty() && Owner != Options.Self.Host)
      Result.push_back(Owner);
  }
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}
