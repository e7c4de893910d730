#include "bw_daemon/decide/decide_service.h"
#include "bw_kernel/services/service_registry.h"

#include "bw_daemon/accept/accept_service.h"
#include "bw_daemon/backend/backend_service.h"
#include "bw_daemon/peers/path_probe.h"
#include "bw_daemon/peers/stream_listener.h"
#include "bw_daemon/peers/wire_conversion.h"
#include "bw_daemon/platform/platform_service.h"
#include "bw_daemon/platform/watch_service.h"
#include "bw_kernel/log/log_event.h"
#include "bw_peer/service/peer_service.h"

#include <algorithm>

using namespace bw;

namespace {

// Detectors want to be asked every 20 to 50 ms while requests are in flight.
constexpr std::chrono::milliseconds BusyTick{20};
constexpr std::chrono::milliseconds IdleTick{100};
constexpr std::chrono::milliseconds StatusInterval{250};
constexpr std::chrono::milliseconds ProbeTimeout{400};
constexpr std::chrono::seconds DrainNoteInterval{5};
constexpr int FirstServerError = 500;

// Names in `/orders/<order>/records/<record>`, which the intake has checked.
struct order_path {
  std::string Order;
  std::string Record;
};
order_path splitOrderPath(const std::string &Path) {
  constexpr std::size_t OrderStart = std::string_view("/orders/").size();
  constexpr std::string_view Records = "/records/";
  const std::size_t OrderEnd = Path.find('/', OrderStart);
  if (OrderEnd == Path.npos || OrderEnd + Records.size() > Path.size())
    return {};
  const std::size_t RecordStart = OrderEnd + Records.size();
  return {Path.substr(OrderStart, OrderEnd - OrderStart),
          Path.substr(RecordStart, Path.find('/', RecordStart) - RecordStart)};
}

listed_host seedHost(const seed_settings &Seed) {
  return {Seed.Host, Seed.DataCentre, host_state::Live};
}

} // namespace

decide_service::decide_service(runtime_clock &Clock,
                               decide_service_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      // Events must not be lost, so producers wait; callers' requests are the
      // exception, see `attach`.
      Events(Clock, {.Capacity = 32'768,
                     .Overflow = overflow_policy::Block,
                     .BlockLimit = std::chrono::seconds(5)}),
      Fleet({.Self = Options.Self,
             .DataCentre = Options.Settings.DataCentre,
             .Seed = Options.Seed}) {}

decide_service::~decide_service() = default;

void decide_service::attach(service_registry &Registry) {
  Accept = &Registry.find<accept_service>(accept_service::ServiceName);
  Platform = &Registry.find<platform_service>(platform_service::ServiceName);
  Watch = &Registry.find<watch_service>(watch_service::ServiceName);
  Backend = &Registry.find<backend_service>(backend_service::ServiceName);
  auto &PeerStreams = Registry.find<peer_service>(peer_service::ServiceName);
  Peers = std::make_unique<peer_gateway>(PeerStreams, Events);
  Control = std::make_unique<fleet_control>(Fleet, *Peers, fleetOptions());
  Owner = std::make_unique<owner_desk>(Fleet, *Backend, ownerOptions());
  Desk = std::make_unique<request_desk>(Fleet, requestOptions());
  for (const seed_settings &Seed : Options.Settings.Seeds) {
    Peers->setEndpoint(Seed.Host, {Seed.Peer.Address, Seed.Peer.Port});
    Control->addSeed(seedHost(Seed));
  }
  PeerStreams.setOnStream([this](incoming_stream Incoming) {
    auto Link = std::make_shared<incoming_link>(Incoming.Stream);
    stream_callbacks Callbacks;
    Callbacks.OnWritable = [Link] { Link->writable(); };
    Callbacks.OnClosed = [this,
                          Id = Incoming.Stream.id()](const stream_closed &) {
      Events.push(peer_left{Id});
    };
    Events.push(
        peer_arrived{std::move(Link), Incoming.From, std::move(Incoming.Head)});
    return Callbacks;
  });
}

request_desk_options decide_service::requestOptions() {
  request_desk_options Result;
  Result.Self = Options.Self;
  Result.Seed = mixHash(Options.Seed, 1);
  Result.Forward = [this](const forward_attempt &Forward,
                          const outgoing_request &Request) {
    forward(Forward, Request);
  };
  Result.Fence = [this](const send_fence &Fence) { fence(Fence); };
  Result.Cancel = [this](const cancel_attempt &Cancel) { cancel(Cancel); };
  Result.Relay = [this](const relay_order &Order) {
    Peers->relay(Order, Clock.now());
  };
  Result.Claim = [this](const submission_identity &Identity,
                        const std::optional<submission_claim> &Claim) {
    Platform->send(settle_claim{Identity, Claim});
  };
  Result.Confirm = [this](const confirm_request &Request,
                          std::shared_ptr<requester> From) {
    Platform->send(record_confirmation{Request, std::move(From)});
  };
  Result.Audit = [this](const order_step &Step) {
    const order_path Names = splitOrderPath(Step.Path);
    Platform->audit(Step.IsRefused ? schema::audit_entry::refused
                                   : schema::audit_entry::fetched,
                    Step.Caller.value(), Names.Order, Names.Record,
                    Step.Detail);
  };
  Result.OnEnded = Options.OnEnded;
  return Result;
}

owner_desk_options decide_service::ownerOptions() {
  owner_desk_options Result;
  Result.Seed = mixHash(Options.Seed, 2);
  Result.CheckPath = [this](const check_path &Check,
                            const std::string &Target) {
    wire::Head Head;
    wire::PathCheck *Question = Head.mutable_path_check();
    Question->set_backend_server(Check.Server.value());
    Question->set_kind(Check.Kind.value());
    Question->set_target(Target);
    Question->set_limit_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(Check.Limit)
            .count()));
    Peers->ask({Check.Successor, {}}, std::move(Head));
  };
  Result.AskDigests = [this](const ask_digests &Ask) {
    wire::Head Head;
    Head.mutable_ask_digests()->set_service(Ask.Service.value());
    Peers->ask({Ask.To, {}}, std::move(Head));
  };
  Result.SendDigest = [this](const send_digest &Digest) {
    wire::Head Head;
    *Head.mutable_latency_digest() = toWire(Digest);
    Peers->ask({Digest.To, {}}, std::move(Head));
  };
  return Result;
}

fleet_control_options decide_service::fleetOptions() {
  fleet_control_options Result;
  Result.Self = Options.Self;
  Result.DataCentre = Options.Settings.DataCentre;
  Result.Started = Options.Started;
  Result.Seed = mixHash(Options.Seed, 3);
  Result.ReadStore = [this] { Platform->send(read_configuration{}); };
  Result.SetWatcher = [this](bool Watches) { Watch->setWatcher(Watches); };
  Result.ServersChanged = [this](const std::vector<server_event> &Changed,
                                 time_point Now) {
    Owner->serversChanged(Changed, Now);
  };
  Result.Apply = [this](const catalogue_pointer &Given) {
    apply(Given, Clock.now());
  };
  Result.OnReady = [this] {
    Ready = true;
    logEvent(log_event::ProgramStarted,
             {{"host", Options.Self.Host.value()}, {"ready", "true"}});
  };
  return Result;
}

void decide_service::start() {
  Thread = std::thread([this] { run(); });
}

void decide_service::stop() {
  Events.close();
  if (Thread.joinable())
    Thread.join();
}

void decide_service::run() {
  while (true) {
    auto Event = Events.pop(nextTick(Clock.now()));
    const time_point Now = Clock.now();
    if (!Event && Events.isClosed())
      return;
    Desk->setNow(Now);
    if (Event)
      std::visit([this, Now](auto &Given) { handle(Given, Now); }, *Event);
    if (Now >= NextTick)
      tick(Now);
  }
}

time_point decide_service::nextTick(time_point) const {
  const auto Timer = Desk->nextTick();
  return Timer ? std::min(NextTick, *Timer) : NextTick;
}

void decide_service::tick(time_point Now) {
  const bool IsBusy = Owner->inFlight() > 0 || Desk->openRequests() > 0;
  NextTick = Now + (IsBusy ? BusyTick : IdleTick);
  Desk->tick(Now);
  Owner->tick(Now);
  Control->tick(Now);
  if (Now >= NextStatus) {
    NextStatus = Now + StatusInterval;
    publishStatus();
  }
  checkDrained(Now);
}

void decide_service::publishStatus() {
  schema::status_answer Result;
  std::map<std::string, bool> DataCentres;
  const auto Add = [&](const heartbeat &Beat, bool IsSelf) {
    schema::host_status *Host = Result.add_hosts();
    Host->set_host(Beat.Daemon.Host.value());
    Host->set_data_centre(Beat.DataCentre.value());
    Host->set_state(Beat.State == host_state::Leaving ? "leaving" : "live");
    Host->set_incarnation(Beat.Daemon.Incarnation.value());
    Host->set_config_version(Beat.Version.value());
    if (IsSelf)
      Host->set_in_flight(static_cast<std::uint32_t>(Desk->openRequests()));
    DataCentres[Beat.DataCentre.value()] = true;
  };
  Add(Control->members().own(), true);
  for (const heartbeat &Beat : Control->members().present())
    Add(Beat, false);
  for (const auto &[Name, Known] : DataCentres) {
    schema::data_centre_status *DataCentre = Result.add_data_centres();
    DataCentre->set_data_centre(Name);
    DataCentre->set_version_in_force(
        Control->versions().inForce(data_centre_id(Name)).value());
  }
  const std::lock_guard Guard(StatusMutex);
  Status = std::move(Result);
}

schema::status_answer decide_service::status() const {
  const std::lock_guard Guard(StatusMutex);
  return Status;
}

drain_outcome decide_service::drain(const host_id &Host) {
  const schema::status_answer Seen = status();
  const auto Found = std::find_if(
      Seen.hosts().begin(), Seen.hosts().end(),
      [&](const auto &Each) { return Each.host() == Host.value(); });
  if (Found == Seen.hosts().end())
    return drain_outcome::UnknownHost;
  if (Found->state() == "leaving")
    return drain_outcome::AlreadyLeaving;
  Events.push(drain_wanted{Host});
  return drain_outcome::Started;
}

void decide_service::checkDrained(time_point Now) {
  if (IsDrained || Drain.phase(Now) != drain_phase::Drained)
    return;
  if (Desk->openRequests() > 0 || Owner->inFlight() > 0 ||
      Accept->openExchanges() > 0) {
    noteDrain(Now);
    return;
  }
  IsDrained = true;
  Drained.set_value();
}

void decide_service::noteDrain(time_point Now) {
  if (Now < NextDrainNote)
    return;
  NextDrainNote = Now + DrainNoteInterval;
  logEvent(log_event::DrainWaiting,
           {{"requests", std::to_string(Desk->openRequests())},
            {"calls", std::to_string(Owner->inFlight())},
            {"connections", std::to_string(Accept->openExchanges())}});
}

void decide_service::handle(stop_wanted &, time_point Now) {
  if (!Drain.beginStop(Now))
    return;
  Ready = false;
  Control->announceLeaving(Now);
}

void decide_service::handle(drain_wanted &Event, time_point) {
  if (Event.Host == Options.Self.Host) {
    Options.OnDrainWanted();
    return;
  }
  wire::Head Head;
  Head.mutable_drain();
  Peers->ask({Event.Host, {}}, std::move(Head));
}

void decide_service::handle(caller_arrived &Event, time_point Now) {
  auto From =
      std::make_shared<caller_requester>(Event.Exchange, Accept->answers());
  if (!Control->isReady()) {
    From->respond(busyResponse(Event.Exchange->request(), "not_ready"));
    return;
  }
  const request_id Id =
      Desk->arrived(Event.Exchange->request(), std::move(From), Now);
  Event.Exchange->setOnClosed([this, Id] { Events.push(caller_closed{Id}); });
}

void decide_service::handle(caller_closed &Event, time_point Now) {
  Desk->callerClosed(Event.Request, Now);
}

void decide_service::handle(backend_head &Event, time_point Now) {
  Owner->handle(Event, Now);
}

void decide_service::handle(backend_ended &Event, time_point Now) {
  Owner->handle(std::move(Event), Now);
}

void decide_service::handle(answer_progress &Event, time_point Now) {
  Desk->handle(Event, Now);
}

void decide_service::handle(answer_paused &Event, time_point Now) {
  Desk->handle(Event, Now);
}

void decide_service::handle(remote_head &Event, time_point) {
  Desk->head(Event.Attempt, static_cast<int>(Event.Head.status()),
             headersFromWire(Event.Head), std::move(Event.Relay));
}

void decide_service::handle(remote_ended &Event, time_point) {
  const bool IsComplete = Event.End.outcome() == wire::End::COMPLETE;
  if (IsComplete && Event.IsWhole && Event.Head)
    Desk->whole(Event.Attempt, static_cast<int>(Event.Head->status()),
                headersFromWire(*Event.Head), std::move(Event.Body));
  Desk->ended(Event.Attempt, fromWire(Event.End));
  Peers->forget(Event.Attempt);
}

void decide_service::handle(remote_lost &Event, time_point Now) {
  const stream_closed &Closed = Event.Closed;
  const forward_loss Loss = Closed.NotDelivered ? forward_loss::NotDelivered
                            : Closed.Reason == stream_close_reason::TimedOut
                                ? forward_loss::Silent
                                : forward_loss::Broken;
  Peers->forget(Event.Attempt);
  Desk->lost(Event.Attempt, Loss, Now);
}

void decide_service::handle(relay_ended &Event, time_point Now) {
  Desk->handle(std::move(Event), Now);
}

void decide_service::handle(claim_answered &Event, time_point Now) {
  Desk->handle(Event, Now);
}

void decide_service::handle(catalogue_loaded &Event, time_point Now) {
  // Only forward: a read that was overtaken by another changes nothing.
  if (Catalogue && Event.Catalogue->Version <= Catalogue->Version)
    return;
  apply(Event.Catalogue, Now);
}

void decide_service::apply(const catalogue_pointer &Given, time_point Now) {
  Catalogue = Given;
  Desk->setCatalogue(Catalogue);
  Owner->configure(Catalogue->Services);
  Control->applied(Catalogue, Now);
}

void decide_service::handle(head_seen &Event, time_point Now) {
  Control->headSeen(Event.Version, Now);
}

void decide_service::handle(store_away &, time_point) { Control->storeAway(); }

void decide_service::handle(hosts_loaded &Event, time_point Now) {
  Control->hostsLoaded(Event.Hosts, Now);
}

void decide_service::forward(const forward_attempt &Forward,
                             const outgoing_request &Request) {
  outgoing_request Sent = Request;
  if (const auto &Resume = Forward.Forward.Resume) {
    Sent.Headers.add("Range",
                     "bytes=" + std::to_string(Resume->First.value()) + "-");
    Sent.Headers.add("If-Range", Resume->Tag.value());
  }
  if (Forward.Forward.To.Owner != Options.Self) {
    Peers->forward(Forward, Sent);
    return;
  }
  forward_offer Offer;
  Offer.Offer = Forward.Forward.Offer;
  Offer.Caller = Forward.Request.Caller;
  Offer.Service = Forward.Request.Service;
  Offer.Kind = Forward.Request.Kind;
  Offer.Server = Forward.Forward.To.Server;
  Offer.Repeatable = Forward.Request.Repeatable;
  Offer.Long = Forward.Request.Long;
  Offer.DespiteEjection = Forward.DespiteEjection;
  Offer.MayWait = Forward.MayWait;
  // The desk outlives each attempt: both belong to this service.
  const std::shared_ptr<attempt_listener> Listener(
      std::shared_ptr<attempt_listener>(), Desk.get());
  Owner->offer(Offer, std::move(Sent), Listener, Clock.now());
}

void decide_service::fence(const send_fence &Fence) {
  if (Fence.Owner == Options.Self) {
    const time_point Now = Clock.now();
    Desk->fenceReplied(Owner->fence(Fence.Fence, Now), Now);
    return;
  }
  wire::Head Head;
  *Head.mutable_fence() = toWire(Fence.Fence);
  Peers->ask(Fence.Owner, std::move(Head));
}

void decide_service::cancel(const cancel_attempt &Cancel) {
  if (Cancel.Owner == Options.Self)
    Owner->cancel(Cancel.Attempt, Clock.now());
  else
    Peers->cancel(Cancel.Attempt);
}

void decide_service::handle(peer_left &Event, time_point Now) {
  const auto Node = StreamAttempts.extract(Event.Stream);
  // Only repeatable work may be dropped with its stream; a submission whose
  // answer cannot be sent still runs to its end, and a fence learns it.
  if (!Node.empty())
    Owner->streamClosed(Node.mapped(), Now);
}

void decide_service::handle(peer_arrived &Event, time_point Now) {
  const peer_stream &Stream = Event.Link->stream();
  wire::Head Reply;
  switch (Event.Head.message_case()) {
  case wire::Head::kForward:
    takeForward(Event, Now);
    return;
  case wire::Head::kRelay:
    Desk->relayed(relayFromWire(Event.Head.relay(), Now),
                  std::make_shared<relay_requester>(Event.Link), Now);
    return;
  case wire::Head::kPathCheck:
    takePathCheck(Event);
    return;
  case wire::Head::kFence:
    *Reply.mutable_fence_reply() =
        toWire(Owner->fence(fromWire(Event.Head.fence()), Now));
    break;
  case wire::Head::kExchange:
    *Reply.mutable_exchange_reply() =
        Control->exchanged(Event.From, Event.Head.exchange(), Now);
    break;
  case wire::Head::kFetch:
    *Reply.mutable_fetch_reply() = Control->fetched(Event.Head.fetch());
    break;
  case wire::Head::kNotice:
    Control->noticed(Event.From, Event.Head.notice(), Now);
    break;
  case wire::Head::kLatencyDigest:
    Owner->digestReceived(service_id(Event.Head.latency_digest().service()),
                          fromWire(Event.Head.latency_digest()), Now);
    break;
  case wire::Head::kAskDigests:
    Owner->digestsRequested(service_id(Event.Head.ask_digests().service()),
                            Event.From.Host, Now);
    break;
  case wire::Head::kDrain:
    Options.OnDrainWanted();
    break;
  default:
    logEvent(log_event::InputMalformed,
             {{"from", Event.From.Host.value()}, {"reason", "message"}});
    Stream.reset();
    return;
  }
  if (Reply.message_case() != wire::Head::MESSAGE_NOT_SET)
    Stream.sendHead(std::move(Reply));
  wire::End End;
  End.set_outcome(wire::End::COMPLETE);
  Stream.sendEnd(std::move(End));
}

void decide_service::takeForward(peer_arrived &Event, time_point Now) {
  const wire::Forward &Forward = Event.Head.forward();
  const forward_offer Offer = offerFromWire(Forward);
  // An executor may offer attempts only in its own name.
  if (Offer.Offer.Attempt.Request.Entry != Event.From) {
    logEvent(log_event::PeerRefused, {{"from", Event.From.Host.value()},
                                      {"reason", "foreign attempt"}});
    Event.Link->stream().reset();
    return;
  }
  StreamAttempts[Event.Link->stream().id()] = Offer.Offer.Attempt;
  Owner->offer(Offer, requestFromWire(Forward),
               std::make_shared<stream_listener>(Event.Link), Now);
}

void decide_service::takePathCheck(peer_arrived &Event) {
  const wire::PathCheck &Check = Event.Head.path_check();
  const listed_server *Server =
      Fleet.servers().find(backend_server_id(Check.backend_server()));
  auto Report = std::make_shared<path_probe>(Event.Link->stream());
  if (Server == nullptr || Check.target().empty()) {
    Report->answer();
    return;
  }
  const std::chrono::microseconds Limit(Check.limit_us());
  for (std::uint32_t Count = 0; Count < path_probe::ProbeCount; ++Count)
    Backend->probe(Server->Address.value(), Check.target(), ProbeTimeout,
                   [Report, Limit](const transfer_result &Result) {
                     Report->add(Result.Status == transfer_status::Complete &&
                                 Result.HttpStatus < FirstServerError &&
                                 Result.Elapsed <= Limit);
                   });
}

void decide_service::handle(peer_answered &Event, time_point Now) {
  if (Event.Question.has_path_check())
    answerPathCheck(Event, Now);
  else if (Event.Question.has_fence())
    answerFence(Event, Now);
  else
    Control->answered(Event, Now);
}

void decide_service::answerPathCheck(const peer_answered &Event,
                                     time_point Now) {
  path_report Report;
  if (Event.Answer && Event.Answer->has_path_check_reply()) {
    Report.Good = Event.Answer->path_check_reply().good();
    Report.Bad = Event.Answer->path_check_reply().bad();
  }
  const wire::PathCheck &Check = Event.Question.path_check();
  Owner->pathChecked(backend_server_id(Check.backend_server()),
                     request_kind(Check.kind()), Report, Now);
}

void decide_service::answerFence(const peer_answered &Event, time_point Now) {
  if (Event.Answer && Event.Answer->has_fence_reply()) {
    Desk->fenceReplied(fromWire(Event.Answer->fence_reply()), Now);
    return;
  }
  // Another incarnation runs there: the one that had the attempt is gone.
  const bool IsGone = Event.Closed.Reason == stream_close_reason::Refused &&
                      Event.Closed.Peer.Host == Event.Asked.Host &&
                      Event.Closed.Peer != Event.Asked;
  if (IsGone)
    Desk->fenceReplied({fromWire(Event.Question.fence().attempt()),
                        fence_verdict::OwnerGone,
                        {}},
                       Now);
}
