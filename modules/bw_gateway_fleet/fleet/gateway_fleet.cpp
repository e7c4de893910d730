#include "bw_gateway_fleet/fleet/gateway_fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const service_id Service("filing-desk");
const std::string VirtualHost = "filing";
const std::string SubmitPath = "/submit/";
const std::string ReadPath = "/read/";

// Hosts start serving at this time; zero marks what has not happened.
constexpr time_point StartTime{100s};
// Intervals of the decide service.
constexpr duration ReportInterval = 80ms;
constexpr duration IdleInterval = 600ms;
constexpr duration UrgentInterval = 40ms;
constexpr duration SummaryInterval = 300ms;
constexpr duration ExchangeCheckInterval = 20ms;
constexpr duration RuleCheckInterval = 100ms;
// The platform removes the entry of a silent server after three heartbeats.
constexpr duration EntryLifetime = 3s;
// Delay until a change of the list is known to all hosts.
constexpr duration ListDelay = 1s;
constexpr duration ConnectTimeout = 300ms;
constexpr duration CallerTimeout = 8s;
constexpr duration WithinDataCentre = 500us;
constexpr int Ok = 200;
constexpr std::size_t AggregatorsPerDataCentre = 2;
// Requests of this time are not checked, as no host knows the servers yet.
constexpr duration WarmUp = 4s;

backend_server_id nameOf(std::size_t Server) {
  return backend_server_id("s" + std::to_string(Server));
}

std::shared_ptr<gateway_configuration> makeConfiguration() {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(1);
  for (const bool IsSubmission : {false, true})
    Result->Routes.push_back({.Id = route_id(IsSubmission ? "submit" : "read"),
                              .VirtualHost = VirtualHost,
                              .Prefix = IsSubmission ? SubmitPath : ReadPath,
                              .Destinations = {{.Service = Service}},
                              .Execution = IsSubmission
                                               ? execution_rule::AtMostOnce
                                               : execution_rule::Repeatable,
                              .Timeout = 4s,
                              .TargetLatency = 1200ms,
                              .MaxAttempts = 2});
  return Result;
}

} // namespace

std::size_t fleet_result::count(fleet_rule Rule) const {
  return static_cast<std::size_t>(
      std::count_if(Violations.begin(), Violations.end(),
                    [&](const auto &Each) { return Each.Rule == Rule; }));
}

double fleet_result::busiestShare() const {
  const std::size_t Sum =
      std::accumulate(Arrivals.begin(), Arrivals.end(), std::size_t(0));
  if (Sum == 0)
    return 0;
  return double(*std::max_element(Arrivals.begin(), Arrivals.end())) *
         double(Arrivals.size()) / double(Sum);
}

gateway_fleet::gateway_fleet(fleet_options GivenOptions, std::uint64_t Seed)
    : Options(std::move(GivenOptions)), Random(Seed),
      Links(Options.Deployment, Options.LossChance),
      Configuration(makeConfiguration()), Rules(Options.FloorShare) {
  Queue.at(StartTime, [] {});
  Queue.runNext();
  addServers(Options.Servers);
  Hosts.resize(Options.Deployment.Hosts);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    startHost(Index);
  for (const fleet_fault &Fault : Options.Faults)
    schedule(Fault);
}

fleet_result gateway_fleet::run() {
  scheduleArrival();
  scheduleCheck();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    scheduleExchange(Index);
  const time_point End = StartTime + Options.Length + CallerTimeout;
  while (Queue.now() < End && Queue.runNext()) {
  }
  Result.Violations = Rules.violations();
  Result.LeastUse = Rules.leastUse();
  return Result;
}

void gateway_fleet::startHost(std::size_t Index) {
  // Callers of a host that restarts see their connections closed.
  std::vector<request_number> Lost;
  for (const auto &[Number, Request] : Open)
    if (Request.Host == Index)
      Lost.push_back(Number);
  for (const request_number Number : Lost)
    finish(Number, false);
  host &Host = Hosts[Index];
  ++Host.Start;
  Host.TimerAt = time_point::max();
  Host.HasReportedLoad = false;
  Host.Engine = std::make_unique<gateway_engine>(gateway_engine_options{
      .Seed = Random.next(),
      .Pool = {.Self = Links.host(Index),
               .OwnDataCentre = Links.dataCentre(Index),
               .FloorShare = Options.FloorShare,
               .ChooseDataCentre = Options.DataCentreChoice()},
      .RetrySlack = 170});
  handle(Index, configuration_read{Configuration});
  handle(Index, hosts_counted{
                    .Hosts = static_cast<std::uint32_t>(Hosts.size()),
                    .LocalHosts = static_cast<std::uint32_t>(
                        (Hosts.size() + dataCentres() - 1) / dataCentres())});
  handle(Index, exchange_duty{.IsAggregator = isAggregator(Index),
                              .IsFirst = Index < dataCentres()});
  listServers();
}

bool gateway_fleet::isAggregator(std::size_t Index) const {
  return Index < AggregatorsPerDataCentre * dataCentres();
}

void gateway_fleet::addServers(std::size_t Count) {
  const bool IsInitial = Servers.empty();
  const time_point Started = IsInitial ? time_point() : Queue.now();
  for (std::size_t Added = 0; Added < Count; ++Added) {
    ServerIndexes.emplace(nameOf(Servers.size()), Servers.size());
    Servers.push_back(std::make_unique<fleet_server>(
        Options, Queue, Random, Random.chance(Options.BurstyShare), Started));
    IsListed.push_back(true);
    Result.Arrivals.push_back(0);
  }
}

// Sends every host the present list, as reading it from the store is not part
// of this simulation.
void gateway_fleet::listServers() {
  Revision = Revision.next();
  servers_listed List{.Position = {.Era = store_era(1), .Revision = Revision},
                      .Servers = {}};
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (IsListed[Index])
      List.Servers.push_back({.Server = nameOf(Index),
                              .Service = Service,
                              .DataCentre = Links.dataCentre(Index),
                              .Slots = slot_count(Options.Slots),
                              .Start = server_start(1)});
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Hosts[Index].Engine)
      handle(Index, List);
}

void gateway_fleet::schedule(const fleet_fault &Fault) {
  Queue.at(StartTime + Fault.At, [this, Fault] { strike(Fault); });
}

void gateway_fleet::strike(const fleet_fault &Fault) {
  const time_point Until = Queue.now() + Fault.Length;
  if (Fault.Kind == fleet_fault::kind::Start) {
    addServers(static_cast<std::size_t>(Fault.Share * double(Options.Servers)));
    Queue.after(ListDelay, [this] { listServers(); });
    return;
  }
  if (Fault.Kind == fleet_fault::kind::HostRestart) {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      if (Random.chance(Fault.Share))
        startHost(Index);
    return;
  }
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    fleet_server &Server = *Servers[Index];
    if (!Server.isUp() || !Random.chance(Fault.Share))
      continue;
    if (Fault.Kind == fleet_fault::kind::Gray) {
      Server.fail(Fault.Strength, Until);
    } else if (Fault.Kind == fleet_fault::kind::Slow) {
      Server.slow(Fault.Strength, Until);
    } else if (Fault.Kind == fleet_fault::kind::Limit) {
      Server.limit(Fault.Strength, Until);
      Rules.recordLimit(Index, Fault.Strength, Queue.now(), Until);
    } else if (Fault.Kind == fleet_fault::kind::Leave) {
      Server.leave();
    } else if (Fault.Kind == fleet_fault::kind::Refuse) {
      Server.refuse(std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(Fault.Strength)),
                    Until);
    } else {
      Server.crash();
      Queue.after(EntryLifetime, [this, Index] {
        IsListed[Index] = false;
        listServers();
      });
    }
  }
}

void gateway_fleet::scheduleArrival() {
  const double Gap = Random.exponential(1 / Options.RequestsPerSecond);
  Queue.after(
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(Gap)),
      [this] {
        if (Queue.now() > StartTime + Options.Length)
          return;
        arrive();
        scheduleArrival();
      });
}

void gateway_fleet::arrive() {
  const std::size_t Host = Random.below(Hosts.size());
  LastRequest = LastRequest.next();
  Open[LastRequest] = {.Host = Host, .Sent = Queue.now()};
  const bool IsSubmission = Random.chance(Options.SubmissionShare);
  handle(Host, request_arrived{.Request = LastRequest,
                               .VirtualHost = VirtualHost,
                               .Path = IsSubmission ? SubmitPath : ReadPath,
                               .CallerTimeout = CallerTimeout});
}

void gateway_fleet::scheduleExchange(std::size_t Index) {
  // Hosts do not report at the same moments.
  const duration Jitter(static_cast<std::int64_t>(Random.below(1'000'000)));
  Queue.after(ExchangeCheckInterval + Jitter, [this, Index] {
    if (Queue.now() > StartTime + Options.Length)
      return;
    exchange(Index);
    scheduleExchange(Index);
  });
}

// As the decide service decides when to report.
void gateway_fleet::exchange(std::size_t Index) {
  host &Host = Hosts[Index];
  const load_exchange &Exchange = Host.Engine->exchange();
  const time_point Now = Queue.now();
  const bool IsUrgent = Exchange.hasUnreportedFailure();
  const bool HasLoad =
      Host.Engine->openRequests() > 0 || Exchange.hasLocalLoad();
  const bool IsDue = IsUrgent ? Now - Host.LastReport >= UrgentInterval
                              : (HasLoad || Host.HasReportedLoad) &&
                                    Now - Host.LastReport >= ReportInterval;
  const bool IsIdleDue = Host.Engine->needsIdleSummaries() &&
                         Now - Host.LastReport >= IdleInterval;
  if (!IsDue && !IsIdleDue)
    return;
  Host.HasReportedLoad = HasLoad;
  Host.LastReport = Now;
  sendReports(Index, IsUrgent);
}

// As the peers service chooses the receivers.
void gateway_fleet::sendReports(std::size_t Index, bool IsUrgent) {
  host &Host = Hosts[Index];
  const time_point Now = Queue.now();
  peer_reported Report = Host.Engine->takeReport(Now);
  Report.IsBroadcast = IsUrgent;
  const auto ToLocal = std::make_shared<const gateway_event>(std::move(Report));
  for (std::size_t To = Index % dataCentres(); To < Hosts.size();
       To += dataCentres())
    if (To != Index && (IsUrgent || isAggregator(To)))
      send(Index, To, ToLocal);
  const load_exchange &Exchange = Host.Engine->exchange();
  if (!Exchange.sendsAggregates(Now) ||
      Now - Host.LastAggregate < ReportInterval)
    return;
  Host.LastAggregate = Now;
  const auto Sums = std::make_shared<const gateway_event>(
      Host.Engine->takeAggregate(true, Now));
  for (std::size_t To = Index % dataCentres(); To < Hosts.size();
       To += dataCentres())
    if (To != Index)
      send(Index, To, Sums);
  const bool IsSummaryDue = Now - Host.LastSummary >= SummaryInterval;
  if (!Exchange.duty().IsFirst ||
      !(IsSummaryDue || Exchange.hasFailureForRemote()))
    return;
  if (IsSummaryDue)
    Host.LastSummary = Now;
  const auto Summary = std::make_shared<const gateway_event>(
      Host.Engine->takeSummary(IsSummaryDue, Now));
  for (std::size_t To = 0; To < Hosts.size() && isAggregator(To); ++To)
    if (To % dataCentres() != Index % dataCentres())
      send(Index, To, Summary);
}

void gateway_fleet::send(std::size_t From, std::size_t To,
                         const shared_event &Event) {
  const auto Delay = Links.transit(From, To, Random);
  if (Delay)
    Queue.after(*Delay, [this, To, Event] { handle(To, *Event); });
}

void gateway_fleet::scheduleCheck() {
  Queue.after(RuleCheckInterval, [this] {
    const time_point Now = Queue.now();
    if (Now > StartTime + Options.Length)
      return;
    std::size_t Sound = 0;
    std::size_t Used = 0;
    for (const auto &Server : Servers) {
      const time_point WindowStart = Now - fleet_rules::FloorWindow;
      if (!Server->isSound(Now) || !Server->isSound(WindowStart) ||
          Server->started() > WindowStart - ListDelay)
        continue;
      ++Sound;
      Used += Server->lastArrival() > WindowStart ? 1U : 0U;
    }
    if (Now >= StartTime + WarmUp)
      Rules.recordUse(Now, Sound, Used);
    scheduleCheck();
  });
}

void gateway_fleet::handle(std::size_t Index, const gateway_event &Event) {
  gateway_engine::commands Out;
  Hosts[Index].Engine->handle(Event, Queue.now(), Out);
  follow(Index, Out);
}

void gateway_fleet::follow(std::size_t Index,
                           const gateway_engine::commands &Out) {
  for (const gateway_command &Command : Out)
    std::visit([&](const auto &Each) { on(Index, Each); }, Command);
  armTimer(Index);
}

void gateway_fleet::armTimer(std::size_t Index) {
  host &Host = Hosts[Index];
  const time_point Due = Host.Engine->nextDue();
  if (Due >= Host.TimerAt)
    return;
  Host.TimerAt = Due;
  Queue.at(Due, [this, Index, Due, Start = Host.Start] {
    host &Woken = Hosts[Index];
    if (Woken.Start != Start || Woken.TimerAt != Due)
      return;
    Woken.TimerAt = time_point::max();
    gateway_engine::commands Out;
    Woken.Engine->tick(Queue.now(), Out);
    follow(Index, Out);
  });
}

duration gateway_fleet::serverDelay(std::size_t Host,
                                    std::size_t Server) const {
  return Host % dataCentres() == Server % dataCentres()
             ? WithinDataCentre
             : Options.Deployment.OneWay;
}

void gateway_fleet::on(std::size_t Index, const start_attempt &Command) {
  ++Result.Attempts;
  const auto Attempt = std::make_shared<fleet_attempt>(
      fleet_attempt{.Host = Index,
                    .HostStart = Hosts[Index].Start,
                    .Command = Command,
                    .IsCancelled = false,
                    .OnEnd = {}});
  const std::size_t Server = ServerIndexes.at(Command.Server);
  const duration Delay = serverDelay(Index, Server);
  Attempt->OnEnd = [this, Delay, Weak = std::weak_ptr(Attempt)](
                       attempt_outcome Outcome, int Status,
                       const server_statement &Statement) {
    const auto Ended = Weak.lock();
    if (!Ended)
      return;
    if (Statement.RetryAfter)
      Rules.recordDeferral(ServerIndexes.at(Ended->Command.Server), Ended->Host,
                           Queue.now(), Queue.now() + *Statement.RetryAfter);
    Queue.after(Delay, [this, Ended, Outcome, Status, Statement] {
      end(Ended, Outcome, Status, Statement);
    });
  };
  Open.at(Command.Request).Attempts[Command.Attempt] = Attempt;
  const time_point Sent = Open.at(Command.Request).Sent;
  Queue.after(Delay, [this, Attempt, Server, Sent] {
    if (!Servers[Server]->isUp()) {
      Queue.after(ConnectTimeout, [this, Attempt] {
        end(Attempt, attempt_outcome::NotSent, 0, std::nullopt);
      });
      return;
    }
    Rules.recordArrival(Server, Attempt->Host, Sent, Queue.now());
    if (Queue.now() >= StartTime + WarmUp)
      ++Result.Arrivals[Server];
    Servers[Server]->receive(Attempt);
  });
}

void gateway_fleet::end(const fleet_attempt_pointer &Attempt,
                        attempt_outcome Outcome, int Status,
                        const std::optional<server_statement> &Statement) {
  const auto Found = Open.find(Attempt->Command.Request);
  if (Attempt->IsCancelled || Found == Open.end() ||
      Hosts[Attempt->Host].Start != Attempt->HostStart)
    return;
  Found->second.Statuses[Attempt->Command.Attempt] = Status;
  if (Statement)
    Found->second.Statements[Attempt->Command.Attempt] = *Statement;
  handle(Attempt->Host, attempt_ended{.Request = Attempt->Command.Request,
                                      .Attempt = Attempt->Command.Attempt,
                                      .Outcome = Outcome,
                                      .Status = Status,
                                      .Statement = Statement});
}

void gateway_fleet::on(std::size_t, const cancel_attempt &Command) {
  Open.at(Command.Request).Attempts.at(Command.Attempt)->IsCancelled = true;
}

void gateway_fleet::on(std::size_t Index, const relay_answer &Command) {
  const open_request &Request = Open.at(Command.Request);
  const server_statement &Statement = Request.Statements.at(Command.Attempt);
  Rules.recordPassedOn(
      ServerIndexes.at(Request.Attempts.at(Command.Attempt)->Command.Server),
      Index, Statement.RequestLimit.has_value(), Statement.IsLeaving,
      Queue.now());
  finish(Command.Request, Request.Statuses.at(Command.Attempt) == Ok);
}

void gateway_fleet::on(std::size_t, const refuse_request &Command) {
  finish(Command.Request, false);
}

// The fleet's answers are complete when they are relayed.
void gateway_fleet::on(std::size_t, const end_request &) {}

void gateway_fleet::on(std::size_t, const limits_changed &) {}

void gateway_fleet::finish(request_number Number, bool IsServed) {
  const auto Found = Open.find(Number);
  ++Result.Requests;
  Result.Served += IsServed ? 1U : 0U;
  Rules.recordRequest(Found->second.Sent, IsServed);
  Open.erase(Found);
}
