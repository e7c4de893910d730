#include "bw_gateway_daemon/revocation/revocation_fleet_test.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <deque>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration Step = 10ms;
constexpr duration ReportInterval = 400ms;
constexpr duration StoreDelay = 10ms;
constexpr duration RetryPause = 250ms;
constexpr duration IdlePause = 400ms;
const service_id Diary("diary");

gateway_route route(const std::string &Prefix, bool IsPublic) {
  return {.Id = route_id(Prefix),
          .VirtualHost = "one.example",
          .Prefix = Prefix,
          .Destinations = {{.Service = Diary}},
          .Timeout = 20s,
          .TargetLatency = 10s,
          .MaxAttempts = 4,
          .IsPublic = IsPublic};
}

class event_sink : public gateway_event_sink {
public:
  explicit event_sink(runtime_clock &Clock)
      : gateway_event_sink(std::string(ServiceName)),
        Events(Clock, {.Capacity = 4096}) {}
  void attach(service_registry &) override {}
  void start() override {}
  void stop() override {}
  gateway_event_ring &events() override { return Events; }

private:
  gateway_event_ring Events;
};

} // namespace

struct revocation_fleet::stored_version {
  config_version Version;
  duration WrittenAt{};
  /// Running watches did not show this version.
  bool IsMissed = false;
  /// Customer of each key.
  std::map<std::string, customer_id> Keys;
  std::shared_ptr<const gateway_configuration> Configuration;
};

struct revocation_fleet::message {
  duration ArrivesAt{};
  host_id From;
  host_state State;
  std::optional<query_number> Query;
  std::optional<freshness_reply> Reply;
  std::shared_ptr<const gateway_configuration> Configuration;
};

struct revocation_fleet::store_call {
  bool IsRead = true;
  duration SentAt{};
  boot_time_point HostSentAt{};
  duration Wait{};
  /// Index of the version from which the watch goes on.
  std::size_t After = 0;
  /// Set once the store has answered.
  std::optional<watch_end> End;
  std::size_t Read = 0;
};

struct revocation_fleet::pending_write {
  duration DueAt{};
  start_attempt Attempt;
};

struct revocation_fleet::host {
  gateway_host Host;
  runtime_clock Clock;
  host_fault Fault = host_fault::None;
  std::unique_ptr<kernel> Kernel;
  platform_state *State = nullptr;
  event_sink *Sink = nullptr;
  std::unique_ptr<gateway_engine> Engine;
  duration Suspended{};
  std::vector<message> Inbox;
  duration ReportedAt{};
  bool IsFetching = false;
  std::optional<store_call> Call;
  duration PausedUntil{};
  std::optional<std::size_t> Watched;
  std::optional<config_version> WatchedVersion;
  request_number LastRequest;
  std::map<request_number, std::string> KeyOf;
  std::vector<pending_write> Writes;
  /// Attempts that servers decline later.
  std::vector<pending_write> Declines;
};

revocation_fleet::revocation_fleet(revocation_fleet_options GivenOptions,
                                   std::uint64_t Seed)
    : IsTurnedAway(GivenOptions.DataCentres * GivenOptions.HostsEach),
      Group(IsTurnedAway.size()), Options(GivenOptions), Random(Seed) {
  for (std::size_t Index = 0; Index < Group.size(); ++Index)
    Listed.push_back({.Host = host_id("host-" + std::to_string(1000 + Index)),
                      .DataCentre = data_centre_id(std::string(
                          1, char('a' + Index / Options.HostsEach))),
                      .Ip = "127.0.0.1",
                      .ReportPort = 1});
  writeVersion();
  for (std::size_t Index = 0; Index < Listed.size(); ++Index) {
    Hosts.push_back(std::make_unique<host>());
    Hosts.back()->Host = Listed[Index];
    Hosts.back()->Clock.pause();
    // The clocks of two hosts have nothing in common.
    Hosts.back()->Clock.advance(std::chrono::seconds(Random.below(100'000)));
    Hosts.back()->Clock.suspend(std::chrono::seconds(Random.below(100'000)));
    startHost(Index);
  }
}

revocation_fleet::~revocation_fleet() {
  for (const auto &Each : Hosts)
    Each->Kernel->stop();
}

void revocation_fleet::writeVersion() {
  constexpr std::size_t KeyCount = 8;
  stored_version Next;
  if (!Versions.empty())
    Next.Keys = Versions.back().Keys;
  if (!Next.Keys.empty()) {
    Next.Keys.erase(Next.Keys.begin());
    std::next(Next.Keys.begin(), 2)->second =
        customer_id("moved-" + std::to_string(Versions.size()));
  }
  while (Next.Keys.size() < KeyCount) {
    const std::string Number = std::to_string(10'000 + ++LastKey);
    Next.Keys["key-" + Number] = customer_id("customer-" + Number);
  }
  Next.Version = config_version(Versions.size() + 1);
  Next.WrittenAt = Now;
  Next.IsMissed = Random.chance(Options.MissedChance);
  auto Configuration = std::make_shared<gateway_configuration>();
  Configuration->Version = Next.Version;
  Configuration->Routes = {route("/own/", false), route("/open/", true)};
  std::vector<customer> Customers;
  for (const auto &[Key, Name] : Next.Keys)
    Customers.push_back({.Name = Name, .Keys = {key_digest::of(Key)}});
  Configuration->Customers =
      std::make_shared<const customer_directory>(std::move(Customers));
  Next.Configuration = Configuration;
  Versions.push_back(std::move(Next));
}

void revocation_fleet::startHost(std::size_t Index) {
  host &Host = *Hosts[Index];
  if (Host.Kernel)
    Host.Kernel->stop();
  Host.Kernel = std::make_unique<kernel>();
  Host.Sink = &Host.Kernel->add<event_sink>(Host.Clock);
  Host.State = &Host.Kernel->add<platform_state>(
      Host.Clock, platform_state_options{.Self = Host.Host,
                                         .Freshness = {.Bound = Options.Bound},
                                         .Seed = Random.next()});
  Host.Kernel->start();
  Host.Engine = std::make_unique<gateway_engine>(gateway_engine_options{
      .Seed = Random.next(), .Freshness = {.Bound = Options.Bound}});
  Host.Suspended = {};
  Host.Inbox.clear();
  Host.IsFetching = false;
  Host.Call.reset();
  Host.Watched.reset();
  Host.WatchedVersion.reset();
  Host.KeyOf.clear();
  Host.Writes.clear();
  Host.Declines.clear();
  Host.State->offerHosts(Listed);
  servers_listed Servers{.Revision = store_revision(1), .Servers = {}};
  for (int Number = 0; Number < 5; ++Number)
    Servers.Servers.push_back(
        {.Server = backend_server_id("server-" + std::to_string(Number)),
         .Service = Diary,
         .DataCentre = Host.Host.DataCentre,
         .Address = server_address("10.0.0.1:80"),
         .Slots = slot_count(1000)});
  Host.Sink->events().push(Servers);
}

void revocation_fleet::restart(std::size_t Index) { startHost(Index); }

void revocation_fleet::restartWith(std::size_t Index, config_version Version) {
  startHost(Index);
  Hosts[Index]->State->offerConfiguration(
      Versions.at(Version.value() - 1).Configuration);
}

void revocation_fleet::setFault(std::size_t Index, host_fault Fault) {
  Hosts[Index]->Fault = Fault;
}

revocation_counts revocation_fleet::takeCounts() {
  return std::exchange(Counts, {});
}

std::size_t revocation_fleet::takePublicRequests() {
  return std::exchange(PublicRequests, 0);
}

bool revocation_fleet::isFresh(std::size_t Index) const {
  return Hosts[Index]->State->configuration() &&
         Hosts[Index]->State->mayServeKeys();
}

std::size_t revocation_fleet::freshHosts() const {
  std::size_t Result = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    Result += isFresh(Index) ? 1 : 0;
  return Result;
}

config_version revocation_fleet::versionOf(std::size_t Index) const {
  const auto Known = Hosts[Index]->State->configuration();
  return Known ? Known->Version : config_version();
}

config_version revocation_fleet::storedVersion() const {
  return Versions.back().Version;
}

void revocation_fleet::run(duration Time) {
  for (const duration End = Now + Time; Now < End; Now += Step) {
    serveStore();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      host &Host = *Hosts[Index];
      if (Host.Fault == host_fault::Suspended)
        Host.Clock.suspend(Step);
      else
        Host.Clock.advance(Step);
      if (Host.Fault == host_fault::None)
        act(Index);
    }
  }
}

void revocation_fleet::act(std::size_t Index) {
  // What waited while the host was frozen comes first, and requests before the
  // proofs.
  host &Host = *Hosts[Index];
  for (pending_write &Each : std::exchange(Host.Writes, {})) {
    if (Each.DueAt <= Now)
      write(Index, Each);
    else
      Host.Writes.push_back(std::move(Each));
  }
  drive(Index);
  deliver(Index);
  follow(Index);
  sendQueries(Index);
  sendReports(Index);
  fetch(Index);
  drive(Index);
  arrive(Index);
}

void revocation_fleet::send(std::size_t From, const host_id &To,
                            message Message) {
  const auto Found =
      std::find_if(Listed.begin(), Listed.end(),
                   [&](const gateway_host &Each) { return Each.Host == To; });
  const auto Target = static_cast<std::size_t>(Found - Listed.begin());
  if (Message.Query || Message.Reply)
    ++Messages;
  if (Group[From] != Group[Target] || Random.chance(Options.LossChance) ||
      (LosesReplies && Message.Reply))
    return;
  Message.From = Listed[From].Host;
  Message.State = Hosts[From]->State->ownState();
  const int Copies = Random.chance(Options.RepeatChance) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    // Unequal delays also reorder messages.
    const duration Longest =
        Random.chance(Options.LateChance) ? duration(8s) : duration(30ms);
    Message.ArrivesAt =
        Now + std::chrono::duration_cast<duration>(Longest * Random.unit());
    Hosts[Target]->Inbox.push_back(Message);
  }
}

void revocation_fleet::deliver(std::size_t Index) {
  host &Host = *Hosts[Index];
  for (message &Each : std::exchange(Host.Inbox, {})) {
    if (Each.ArrivesAt > Now) {
      Host.Inbox.push_back(std::move(Each));
      continue;
    }
    if (Each.Configuration) {
      Host.IsFetching = false;
      Host.State->offerConfiguration(Each.Configuration);
      continue;
    }
    if (Each.Query)
      if (const auto Reply = Host.State->answerQuery(*Each.Query))
        send(Index, Each.From, {.Reply = Reply});
    Host.State->heard(Each.From, Each.State);
    if (Each.Reply)
      Host.State->recordReply(*Each.Reply);
  }
}

void revocation_fleet::sendQueries(std::size_t Index) {
  for (const verification_query &Each : Hosts[Index]->State->takeQueries())
    send(Index, Each.To.Host, {.Query = Each.Number});
}

void revocation_fleet::sendReports(std::size_t Index) {
  host &Host = *Hosts[Index];
  if (Now - Host.ReportedAt < ReportInterval)
    return;
  Host.ReportedAt = Now;
  std::vector<gateway_host> Targets;
  Host.State->withHosts([&](host_directory &Hosts, random_source &Generator) {
    const time_point HostNow = Host.Clock.now();
    if (!Hosts.duty(HostNow).IsAggregator) {
      Targets = Hosts.localAggregators(HostNow, Generator);
      return 0;
    }
    Targets = Hosts.localHosts(Generator);
    for (const gateway_host &Each : Hosts.remoteAggregators(HostNow, Generator))
      Targets.push_back(Each);
    return 0;
  });
  for (const gateway_host &Each : Targets)
    send(Index, Each.Host, {});
}

// A host fetches a newer configuration from one that reported it; a new one
// asks any.
void revocation_fleet::fetch(std::size_t Index) {
  host &Host = *Hosts[Index];
  if (Host.IsFetching)
    return;
  std::optional<gateway_host> From;
  Host.State->withHosts([&](host_directory &Hosts, random_source &Generator) {
    From = Hosts.hostWithNewerConfiguration(Host.Clock.now(), Generator);
    return 0;
  });
  if (!From && !Host.State->configuration())
    From = Listed[Random.below(Listed.size())];
  if (!From)
    return;
  const auto Source = static_cast<std::size_t>(
      std::find(Listed.begin(), Listed.end(), *From) - Listed.begin());
  const auto Found = Hosts[Source]->State->configuration();
  if (Group[Source] != Group[Index] || !Found ||
      Hosts[Source]->Fault != host_fault::None)
    return;
  Host.IsFetching = true;
  message Response;
  Response.ArrivesAt = Now + 50ms;
  Response.Configuration = Found;
  Host.Inbox.push_back(std::move(Response));
}

// Plays the service `configuration_follower`.
void revocation_fleet::follow(std::size_t Index) {
  host &Host = *Hosts[Index];
  if (Host.Call && Host.Call->End)
    endCall(Index);
  if (Host.Call || Now < Host.PausedUntil)
    return;
  bool IsFollowing = !Host.State->configuration();
  Host.State->withHosts([&](host_directory &Hosts, random_source &) {
    IsFollowing = IsFollowing || Hosts.followsConfiguration(Host.Clock.now());
    return 0;
  });
  const auto Left = Host.State->untilStoreRead();
  if (!IsFollowing && (!Left || *Left > duration::zero())) {
    Host.PausedUntil = Now + std::min(IdlePause, Left.value_or(IdlePause));
    return;
  }
  ++StoreCalls;
  duration Wait = 1ms;
  if (IsFollowing) {
    const duration Max = Host.State->watchLimit().value_or(2500ms);
    Wait = std::chrono::duration_cast<duration>(Max *
                                                (0.75 + 0.25 * Random.unit()));
  }
  Host.Call = store_call{.IsRead = !Host.Watched,
                         .SentAt = Now,
                         .HostSentAt = Host.Clock.bootNow(),
                         .Wait = Wait,
                         .After = Host.Watched.value_or(0)};
}

void revocation_fleet::endCall(std::size_t Index) {
  host &Host = *Hosts[Index];
  const store_call Call = *Host.Call;
  Host.Call.reset();
  if (Call.End == watch_end::Unavailable) {
    Host.Watched.reset();
    Host.PausedUntil = Now + RetryPause;
    return;
  }
  if (Call.IsRead || Call.End == watch_end::Changed) {
    Host.Watched = Call.Read;
    Host.WatchedVersion = Versions[Call.Read].Version;
    Host.State->offerConfiguration(Versions[Call.Read].Configuration);
  }
  Host.State->recordProof(*Host.WatchedVersion, Call.HostSentAt);
}

void revocation_fleet::serveStore() {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    if (!Hosts[Index]->Call || Hosts[Index]->Call->End)
      continue;
    store_call &Call = *Hosts[Index]->Call;
    const duration RegisteredAt = Call.SentAt + StoreDelay;
    if (Now < RegisteredAt)
      continue;
    const stored_version &Last = Versions.back();
    if (!IsStoreUp || IsTurnedAway[Index]) {
      Call.End = watch_end::Unavailable;
    } else if (Call.IsRead) {
      Call.End = watch_end::Changed;
    } else if (Last.Version > Versions[Call.After].Version &&
               !(Last.IsMissed && Last.WrittenAt > RegisteredAt)) {
      Call.End = watch_end::Changed;
    } else if (Now >= RegisteredAt + Call.Wait) {
      Call.End = watch_end::Unchanged;
    }
    Call.Read = Versions.size() - 1;
  }
}

// Plays the decide service.
void revocation_fleet::drive(std::size_t Index) {
  host &Host = *Hosts[Index];
  gateway_engine::commands Out;
  const time_point HostNow = Host.Clock.now();
  const duration Ahead =
      Host.Clock.bootNow().time_since_epoch() - HostNow.time_since_epoch();
  if (Ahead > Host.Suspended) {
    Host.Suspended = Ahead;
    Host.Engine->handle(time_suspended{.Total = Ahead}, HostNow, Out);
  }
  while (auto Event = Host.Sink->events().tryPop())
    Host.Engine->handle(*Event, HostNow, Out);
  for (pending_write &Each : std::exchange(Host.Declines, {})) {
    if (Each.DueAt > Now)
      Host.Declines.push_back(std::move(Each));
    else
      Host.Engine->handle(
          attempt_ended{.Request = Each.Attempt.Request,
                        .Attempt = Each.Attempt.Attempt,
                        .Outcome = attempt_outcome::NotExecuted,
                        .Statement = server_statement{.RequestLimit = 1000}},
          HostNow, Out);
  }
  Host.Engine->tick(HostNow, Out);
  obey(Index, Out);
}

// One request with a key, which may be withdrawn, and one public one now and
// then.
void revocation_fleet::arrive(std::size_t Index) {
  constexpr double RequestChance = 0.1;
  host &Host = *Hosts[Index];
  if (!Random.chance(RequestChance))
    return;
  gateway_engine::commands Out;
  for (const char *Path : {"/own/1", "/open/1"}) {
    Host.LastRequest = Host.LastRequest.next();
    const std::string Key =
        "key-" + std::to_string(10'001 + Random.below(LastKey));
    Host.KeyOf[Host.LastRequest] = Key;
    Host.Engine->handle(
        request_arrived{.Request = Host.LastRequest,
                        .VirtualHost = "one.example",
                        .Path = Path,
                        .Key = {.Presence = key_presence::Present,
                                .Digest = key_digest::of(Key)}},
        Host.Clock.now(), Out);
  }
  obey(Index, Out);
}

void revocation_fleet::obey(std::size_t Index,
                            const gateway_engine::commands &Commands) {
  constexpr double ConnectChance = 0.1;
  host &Host = *Hosts[Index];
  for (const gateway_command &Each : Commands) {
    if (const auto *Start = std::get_if<start_attempt>(&Each)) {
      // Some requests wait for a connect.
      const duration Delay =
          Random.chance(ConnectChance)
              ? std::chrono::duration_cast<duration>(250ms * Random.unit())
              : duration::zero();
      const pending_write Write{.DueAt = Now + Delay, .Attempt = *Start};
      if (Delay == duration::zero())
        write(Index, Write);
      else
        Host.Writes.push_back(Write);
    } else if (const auto *Refusal = std::get_if<refuse_request>(&Each)) {
      if (Refusal->Reason == refusal_reason::ConfigurationStale)
        ++Counts.Stale;
      if (Refusal->Reason == refusal_reason::Unauthenticated)
        ++Counts.Unauthenticated;
    }
  }
}

// Plays the connection to a server; a few requests are declined after a while.
void revocation_fleet::write(std::size_t Index, const pending_write &Write) {
  constexpr double DeclineChance = 0.05;
  host &Host = *Hosts[Index];
  const start_attempt &Attempt = Write.Attempt;
  gateway_event_ring &Events = Host.Sink->events();
  if (Attempt.SendBefore && Host.Clock.bootNow() >= *Attempt.SendBefore) {
    ++Counts.Expired;
    Events.push(attempt_ended{.Request = Attempt.Request,
                              .Attempt = Attempt.Attempt,
                              .Outcome = attempt_outcome::Expired});
    return;
  }
  // Every second request is on a public route.
  const bool IsPublic = Attempt.Request.value() % 2 == 0;
  if (Attempt.Customer->Name == customer_id()) {
    CPPUNIT_ASSERT_MESSAGE("sent for no customer", IsPublic);
    ++PublicRequests;
  } else {
    ++Counts.Sent;
    checkSent(Host.KeyOf.at(Attempt.Request), Attempt.Customer->Name);
  }
  if (Random.chance(DeclineChance)) {
    const auto After = std::chrono::duration_cast<duration>(4s * Random.unit());
    Host.Declines.push_back({.DueAt = Now + After, .Attempt = Attempt});
    return;
  }
  Events.push(attempt_ended{.Request = Attempt.Request,
                            .Attempt = Attempt.Attempt,
                            .Outcome = attempt_outcome::Answered,
                            .Status = 200});
}

void revocation_fleet::checkSent(const std::string &Key,
                                 const customer_id &Name) const {
  for (std::size_t Index = Versions.size(); Index-- > 0;) {
    const auto Found = Versions[Index].Keys.find(Key);
    if (Found != Versions[Index].Keys.end() && Found->second == Name)
      return;
    CPPUNIT_ASSERT_MESSAGE(
        "sent with " + Key + " for " + Name.value() + " after the bound, at " +
            std::to_string(std::chrono::duration<double>(Now).count()) + " s",
        Now - Versions[Index].WrittenAt < Options.Bound);
  }
  CPPUNIT_FAIL("sent in a name that never had the key");
}
