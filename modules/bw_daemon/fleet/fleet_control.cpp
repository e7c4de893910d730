#include "bw_daemon/fleet/fleet_control.h"

#include "bw_daemon/peers/wire_conversion.h"
#include "bw_kernel/log/log_event.h"

#include <algorithm>

using namespace bw;

namespace {

// How often a host that is not ready asks the others for their version.
constexpr std::chrono::milliseconds AskInterval{300};
constexpr std::size_t WatchersPerDataCentre = 2;

std::vector<heartbeat> readHeartbeats(
    const google::protobuf::RepeatedPtrField<wire::Heartbeat> &Given) {
  std::vector<heartbeat> Result;
  Result.reserve(static_cast<std::size_t>(Given.size()));
  for (const wire::Heartbeat &Beat : Given)
    Result.push_back(fromWire(Beat));
  return Result;
}

std::string addressText(const host_list_entry &Entry) {
  return Entry.Address + ":" + std::to_string(Entry.Port);
}

void logMembership(const membership_event &Event) {
  const log_event Name = Event.Change == membership_change::Suspected
                             ? log_event::HostSuspected
                         : Event.Change == membership_change::Joined ||
                                 Event.Change == membership_change::Restarted
                             ? log_event::HostJoined
                             : log_event::HostLeft;
  logEvent(Name, {{"host", Event.Daemon.Host.value()},
                  {"data_centre", Event.DataCentre.value()}});
}

} // namespace

fleet_control::fleet_control(fleet_view &Fleet, peer_gateway &Peers,
                             fleet_control_options GivenOptions)
    : Fleet(Fleet), Peers(Peers), Options(std::move(GivenOptions)),
      Random(Options.Seed),
      Members(Options.Self, Options.DataCentre, Options.Started),
      Versions(Options.Self.Host, Options.DataCentre), Gate(Options.Self.Host) {
}

void fleet_control::addSeed(const listed_host &Host) {
  if (Host.Host == Options.Self.Host)
    return;
  Seeds.push_back(Host);
  std::vector<host_id> Own;
  for (const listed_host &Seed : Seeds)
    if (Seed.DataCentre == Options.DataCentre)
      Own.push_back(Seed.Host);
  Gate.setListed(Own);
}

void fleet_control::hostsLoaded(const std::vector<host_list_entry> &Hosts,
                                time_point Now) {
  std::vector<listed_host> ListedHosts;
  std::vector<listed_server> ListedServers;
  std::vector<host_id> OwnDataCentre;
  for (const host_list_entry &Entry : Hosts) {
    if (Entry.Role == listed_role::BackendServer) {
      ListedServers.push_back({.Server = backend_server_id(Entry.Name),
                               .Service = Entry.Service,
                               .DataCentre = Entry.DataCentre,
                               .Address = server_address(addressText(Entry)),
                               .Slots = Entry.Slots,
                               .Leaving = Entry.IsLeaving,
                               .Start = {}});
      continue;
    }
    const host_id Host(Entry.Name);
    if (Host == Options.Self.Host)
      continue;
    Peers.setEndpoint(Host, {Entry.Address, Entry.Port});
    ListedHosts.push_back(
        {Host, Entry.DataCentre,
         Entry.IsLeaving ? host_state::Leaving : host_state::Live});
    if (Entry.DataCentre == Options.DataCentre && !Entry.IsLeaving)
      OwnDataCentre.push_back(Host);
  }
  Gate.setListed(OwnDataCentre);
  carryOut(Members.updateHostList(ListedHosts, Now), Now);
  Options.ServersChanged(Fleet.updateServers(ListedServers, Now), Now);
}

void fleet_control::storeAway() { Gate.storeUnavailable(); }

void fleet_control::headSeen(config_version Version, time_point Now) {
  Gate.storeAnswered(Version);
  carryOut(Versions.headSeen(Version, Now, Random));
  becomeReady(Now);
}

void fleet_control::applied(const catalogue_pointer &Given, time_point Now) {
  Catalogue = Given;
  Members.setVersion(Given->Version);
  Gate.applied(Given->Version);
  carryOut(Versions.applied(Given->Version, Now, Random));
  logEvent(log_event::ConfigurationInForce,
           {{"version", std::to_string(Given->Version.value())}});
  becomeReady(Now);
}

void fleet_control::becomeReady(time_point Now) {
  if (WasReady || !Gate.isReady())
    return;
  WasReady = true;
  Fleet.setSelfReady(true, Now);
  Options.OnReady();
}

wire::Exchange
fleet_control::exchangeOf(const std::vector<heartbeat> &Beats) const {
  wire::Exchange Result;
  for (const heartbeat &Beat : Beats)
    *Result.add_heartbeats() = toWire(Beat);
  Result.set_config_version(Versions.own().value());
  Result.set_ready(Gate.isReady());
  for (const drain_sign &Sign : Fleet.servers().reports(LastTick))
    *Result.add_drain_signs() = toWire(Sign);
  return Result;
}

void fleet_control::send(const membership_message &Message) {
  wire::Head Head;
  *Head.mutable_exchange() = exchangeOf(Message.Heartbeats);
  Head.mutable_exchange()->set_wants_reply(Message.WantsReply);
  // Heartbeats go to whoever runs there: that is how a restart is learned.
  Peers.ask({Message.To, {}}, std::move(Head));
}

void fleet_control::carryOut(const membership_step &Step, time_point Now) {
  for (const membership_message &Message : Step.Messages)
    send(Message);
  if (Step.Events.empty())
    return;
  for (const membership_event &Event : Step.Events)
    logMembership(Event);
  Fleet.apply(Step.Events, Now);
  updatePeers();
}

void fleet_control::updatePeers() {
  std::vector<version_peer> Live;
  for (const heartbeat &Beat : Members.present())
    Live.push_back({Beat.Daemon.Host, Beat.DataCentre});
  Versions.setPeers(Live);
  updateWatcher();
}

void fleet_control::updateWatcher() {
  const auto Watchers = Fleet.owners().topHosts(
      "configuration-watch", Options.DataCentre, WatchersPerDataCentre);
  // A host that knows of no other yet watches too.
  const bool Watches =
      Watchers.empty() || std::find(Watchers.begin(), Watchers.end(),
                                    Options.Self.Host) != Watchers.end();
  if (Watches == IsWatcher)
    return;
  IsWatcher = Watches;
  Versions.setWatcher(Watches);
  Options.SetWatcher(Watches);
}

void fleet_control::carryOut(const version_commands &Commands) {
  for (const version_command &Command : Commands) {
    wire::Head Head;
    if (const auto *Notice = std::get_if<version_notice>(&Command)) {
      Head.mutable_notice()->set_config_version(Notice->Version.value());
      Peers.ask({Notice->To, {}}, std::move(Head));
    } else if (const auto *Exchange = std::get_if<version_exchange>(&Command)) {
      *Head.mutable_exchange() = exchangeOf({Members.own()});
      Head.mutable_exchange()->set_wants_reply(Exchange->WantsReply);
      Peers.ask({Exchange->To, {}}, std::move(Head));
    } else if (const auto *Fetch = std::get_if<version_fetch>(&Command)) {
      Head.mutable_fetch()->set_config_version(Fetch->Version.value());
      Peers.ask({Fetch->From, {}}, std::move(Head));
    } else {
      Options.ReadStore();
    }
  }
}

void fleet_control::receive(const daemon_id &From,
                            const std::vector<heartbeat> &Beats,
                            config_version Version, bool IsReady,
                            bool WantsReply, time_point Now,
                            membership_step &Reply) {
  Reply = Members.receive({Options.Self.Host, Beats, WantsReply}, Now, Random);
  Gate.peerAnswered(From.Host, IsReady, Version);
  carryOut(Versions.exchangeReceived(From.Host, Version, false, Now, Random));
  becomeReady(Now);
}

void fleet_control::takeDrainSigns(
    const google::protobuf::RepeatedPtrField<wire::DrainSign> &Signs,
    time_point Now) {
  for (const wire::DrainSign &Sign : Signs) {
    const auto Events = Fleet.drainSeen(fromWire(Sign), Now);
    if (!Events.empty())
      Options.ServersChanged(Events, Now);
  }
}

wire::ExchangeReply fleet_control::exchanged(const daemon_id &From,
                                             const wire::Exchange &Message,
                                             time_point Now) {
  membership_step Step;
  receive(From, readHeartbeats(Message.heartbeats()),
          config_version(Message.config_version()), Message.ready(),
          Message.wants_reply(), Now, Step);
  takeDrainSigns(Message.drain_signs(), Now);
  // The reply goes back on the same stream instead of a new one.
  std::vector<heartbeat> Beats = {Members.own()};
  const auto Reply = std::find_if(
      Step.Messages.begin(), Step.Messages.end(),
      [&](const membership_message &Each) { return Each.To == From.Host; });
  if (Reply != Step.Messages.end()) {
    Beats = Reply->Heartbeats;
    Step.Messages.erase(Reply);
  }
  carryOut(Step, Now);
  const wire::Exchange Own = exchangeOf(Beats);
  wire::ExchangeReply Result;
  *Result.mutable_heartbeats() = Own.heartbeats();
  *Result.mutable_drain_signs() = Own.drain_signs();
  Result.set_config_version(Own.config_version());
  Result.set_ready(Own.ready());
  return Result;
}

wire::FetchReply fleet_control::fetched(const wire::Fetch &Message) const {
  wire::FetchReply Reply;
  if (!Catalogue || Catalogue->Version.value() < Message.config_version())
    return Reply;
  Reply.set_config_version(Catalogue->Version.value());
  Reply.set_configuration(Catalogue->Source.SerializeAsString());
  return Reply;
}

void fleet_control::noticed(const daemon_id &From, const wire::Notice &Message,
                            time_point Now) {
  carryOut(Versions.peerHas(From.Host, config_version(Message.config_version()),
                            Now, Random));
}

void fleet_control::answered(const peer_answered &Event, time_point Now) {
  const bool IsFetch = Event.Question.has_fetch();
  if (!Event.Answer) {
    if (IsFetch)
      carryOut(Versions.fetchFailed(Now, Random));
    return;
  }
  if (Event.Answer->has_exchange_reply()) {
    const wire::ExchangeReply &Reply = Event.Answer->exchange_reply();
    membership_step Step;
    receive(Event.Asked, readHeartbeats(Reply.heartbeats()),
            config_version(Reply.config_version()), Reply.ready(), false, Now,
            Step);
    takeDrainSigns(Reply.drain_signs(), Now);
    carryOut(Step, Now);
    return;
  }
  if (!IsFetch || !Event.Answer->has_fetch_reply())
    return;
  schema::configuration Configuration;
  const wire::FetchReply &Reply = Event.Answer->fetch_reply();
  const bool IsUsable =
      Configuration.ParseFromString(Reply.configuration()) &&
      Configuration.version() == Reply.config_version() &&
      config_version(Configuration.version()) > Versions.own();
  if (!IsUsable) {
    carryOut(Versions.fetchFailed(Now, Random));
    return;
  }
  Options.Apply(
      std::make_shared<const service_catalogue>(std::move(Configuration)));
}

void fleet_control::announceLeaving(time_point Now) {
  IsLeaving = true;
  carryOut(Members.announceLeaving(Now), Now);
  Fleet.setSelfReady(false, Now);
}

void fleet_control::tick(time_point Now) {
  LastTick = Now;
  Fleet.tick(Now);
  carryOut(Members.tick(Now, Random), Now);
  carryOut(Versions.tick(Now, Random));
  updateWatcher();
  if (Gate.isReady() || Now < NextAsk)
    return;
  NextAsk = Now + AskInterval;
  for (const host_id &Host : Peers.knownHosts()) {
    wire::Head Head;
    *Head.mutable_exchange() = exchangeOf({Members.own()});
    Head.mutable_exchange()->set_wants_reply(true);
    Peers.ask({Host, {}}, std::move(Head));
  }
}
