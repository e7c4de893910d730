#include "bw_membership/servers/server_directory.h"

#include <set>

using namespace bw;

server_directory::server_directory(server_directory_options Options)
    : Options(Options) {}

std::vector<server_event>
server_directory::updateList(const std::vector<listed_server> &List,
                             time_point Now) {
  std::vector<server_event> Events;
  std::set<backend_server_id> ListedIds;
  for (const listed_server &Server : List) {
    ListedIds.insert(Server.Server);
    applyEntry(Server, Now, Events);
  }
  for (auto &[Id, Record] : Servers)
    if (Record.Listed && !ListedIds.contains(Id))
      markUnlisted(Record, Events);
  removeExpired(Now);
  return Events;
}

void server_directory::applyEntry(const listed_server &Entry, time_point Now,
                                  std::vector<server_event> &Events) {
  const auto Found = Servers.find(Entry.Server);
  if (Found == Servers.end()) {
    add(Entry, Now, Events);
    return;
  }
  record &Record = Found->second;
  // An outdated replica of the list shows an earlier start.
  if (Entry.Start < Record.Latest.Start && Entry.Start.value() != 0)
    return;
  if (Entry.Leaving || !Record.Listed)
    Record.LiveSince = Now;
  const bool Restarted = isNewStart(Record, Entry, Now);
  const listed_server Before = Record.Latest;
  const bool WasListed = Record.Listed;
  Record.Latest = Entry;
  Record.Listed = true;
  Record.ListedAt = Now;
  if (Restarted) {
    Record.Leaving = false;
    Record.ListShowedLeaving = false;
    Record.LiveSince = Now;
  }
  if (Entry.Leaving) {
    Record.ListShowedLeaving = true;
    markLeaving(Record, Now, Events);
    return;
  }
  if (Record.Leaving)
    return;
  if (Restarted)
    Events.push_back({server_change::Restarted, Entry});
  else if (!WasListed)
    Events.push_back({server_change::Added, Entry});
  else if (Before.Slots != Entry.Slots || Before.Service != Entry.Service ||
           Before.DataCentre != Entry.DataCentre)
    Events.push_back({server_change::Changed, Entry});
}

void server_directory::add(const listed_server &Entry, time_point Now,
                           std::vector<server_event> &Events) {
  record &Record = Servers[Entry.Server];
  Record.Latest = Entry;
  Record.Listed = true;
  Record.ListedAt = Now;
  Record.LiveSince = Now;
  if (!Entry.Leaving) {
    Events.push_back({server_change::Added, Entry});
    return;
  }
  Record.ListShowedLeaving = true;
  markLeaving(Record, Now, Events);
}

bool server_directory::isNewStart(const record &Record,
                                  const listed_server &Entry,
                                  time_point Now) const {
  const listed_server &Known = Record.Latest;
  if (Entry.Start.value() != 0 && Known.Start.value() != 0)
    return Entry.Start > Known.Start;
  if (!Known.Address.empty() && Entry.Address != Known.Address)
    return true;
  return Record.Leaving && Record.ListShowedLeaving && !Entry.Leaving &&
         Now - Record.LiveSince >= Options.NewStartAfterLive;
}

void server_directory::markUnlisted(record &Record,
                                    std::vector<server_event> &Events) {
  Record.Listed = false;
  Record.ListShowedLeaving = true;
  Events.push_back({server_change::Removed, Record.Latest});
}

void server_directory::markLeaving(record &Record, time_point Now,
                                   std::vector<server_event> &Events) {
  if (Record.Leaving)
    return;
  Record.Leaving = true;
  Record.LeavingSince = Now;
  Events.push_back({server_change::Leaving, Record.Latest});
}

std::vector<server_event> server_directory::drainSeen(const drain_sign &Sign,
                                                      time_point Now) {
  std::vector<server_event> Events;
  auto [Found, IsNew] = Servers.try_emplace(Sign.Server);
  record &Record = Found->second;
  if (IsNew) {
    Record.Latest.Server = Sign.Server;
    Record.Latest.Address = Sign.Address;
    Record.Latest.Start = Sign.Start;
    Record.ListedAt = Now;
  }
  const listed_server &Known = Record.Latest;
  const bool OlderStart = Sign.Start.value() != 0 && Sign.Start < Known.Start;
  const bool OtherAddress = !Known.Address.empty() && !Sign.Address.empty() &&
                            Sign.Address != Known.Address;
  // A sign of a newer start than the list shows is accepted. If it is wrong,
  // the server gets no requests for a while; ignoring a correct one would send
  // requests to a leaving server.
  if (OlderStart || (OtherAddress && Sign.Start <= Known.Start))
    return Events;
  markLeaving(Record, Now, Events);
  return Events;
}

std::vector<drain_sign> server_directory::reports(time_point Now) const {
  std::vector<drain_sign> Reports;
  for (const auto &[Id, Record] : Servers) {
    if (Reports.size() >= Options.MaxReports)
      break;
    if (Record.Leaving && Now - Record.LeavingSince < Options.ReportTime)
      Reports.push_back({Id, Record.Latest.Address, Record.Latest.Start});
  }
  return Reports;
}

bool server_directory::acceptsRequests(const backend_server_id &Server) const {
  const auto Found = Servers.find(Server);
  return Found != Servers.end() && Found->second.Listed &&
         !Found->second.Leaving;
}

const listed_server *
server_directory::find(const backend_server_id &Server) const {
  const auto Found = Servers.find(Server);
  return Found == Servers.end() ? nullptr : &Found->second.Latest;
}

std::vector<listed_server>
server_directory::usable(const service_id &Service) const {
  std::vector<listed_server> Usable;
  for (const auto &[Id, Record] : Servers)
    if (Record.Latest.Service == Service && acceptsRequests(Id))
      Usable.push_back(Record.Latest);
  return Usable;
}

std::vector<listed_server>
server_directory::listed(const service_id &Service) const {
  std::vector<listed_server> Known;
  for (const auto &[Id, Record] : Servers)
    if (Record.Latest.Service == Service && Record.Listed)
      Known.push_back(Record.Latest);
  return Known;
}

// Signs for instances that were never listed expire after the same time.
void server_directory::removeExpired(time_point Now) {
  std::erase_if(Servers, [&](const auto &Entry) {
    const record &Record = Entry.second;
    return !Record.Listed && Now - Record.ListedAt >= Options.ForgetAfter;
  });
}
