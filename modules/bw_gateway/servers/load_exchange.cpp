#include "bw_gateway/servers/load_exchange.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <limits>

using namespace bw;

namespace {

// Hosts with requests in flight report several times a second. Without a report
// for this long, their requests are assumed to have ended.
constexpr duration ReportTimeout = std::chrono::milliseconds(1500);

// Another aggregator takes over after missing a few aggregates of the first.
constexpr duration TakeoverDelay = std::chrono::milliseconds(400);
// Sums include a report that is at most a few report intervals old.
constexpr std::size_t MaxKeptReports = 16;

std::uint16_t saturatedCount(std::uint32_t Count) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      Count, std::numeric_limits<std::uint16_t>::max()));
}

std::uint32_t
countAt(const std::unordered_map<backend_server_id, std::uint32_t> &Load,
        const backend_server_id &Server) {
  const auto Found = Load.find(Server);
  return Found == Load.end() ? 0 : Found->second;
}

} // namespace

// The numbers of two hosts that both take a duty for a moment differ, so that
// the message of one is not taken for a part of the other's.
load_exchange::load_exchange(host_id GivenSelf, data_centre_id OwnDataCentre)
    : Self(std::move(GivenSelf)), OwnDataCentre(std::move(OwnDataCentre)),
      LastRound(static_cast<std::uint32_t>(stableHash(Self.value()))) {}

// Creates a record for every server with own requests, so that iterating over
// the records covers all of them.
load_exchange::load_map load_exchange::loadMap(const load_list &OwnLoad) {
  for (const auto &[Server, InFlight] : OwnLoad)
    Records.try_emplace(Server);
  return {OwnLoad.begin(), OwnLoad.end()};
}

void load_exchange::setDuty(exchange_duty NewDuty) {
  const bool IsSameRole = NewDuty.IsAggregator == Duty.IsAggregator &&
                          NewDuty.IsFirst == Duty.IsFirst;
  Duty = NewDuty;
  if (IsSameRole)
    return;
  // Outcomes collected in the previous role were forwarded by another host.
  for (auto &[Server, Record] : Records) {
    Record.ForLocal = {};
    Record.ForRemote = {};
    Record.StatementForLocal.reset();
    Record.StatementForRemote.reset();
  }
  LocalSenders.clear();
  countSenders();
  FailureForRemote = false;
}

void load_exchange::recordOutcomes(const backend_server_id &Server, double Good,
                                   double Bad) {
  const auto MoreGood = static_cast<float>(Good);
  const auto MoreBad = static_cast<float>(Bad);
  Records[Server].Unreported.add(MoreGood, MoreBad);
  HasUnreportedFailure = HasUnreportedFailure || Bad > 0;
  queueForRemote(Server, MoreGood, MoreBad);
}

void load_exchange::recordStatement(const backend_server_id &Server,
                                    const server_statement &Statement) {
  Records[Server].UnreportedStatement = {.RequestLimit = Statement.RequestLimit,
                                         .IsLeaving = Statement.IsLeaving,
                                         .RetryAfter = {}};
  forward(Server, Records[Server].UnreportedStatement);
}

void load_exchange::forward(const backend_server_id &Server,
                            const std::optional<server_statement> &Statement) {
  if (!Duty.IsFirst || !Statement)
    return;
  Records[Server].StatementForLocal = Statement;
  Records[Server].StatementForRemote = Statement;
}

void load_exchange::countSenders() {
  // Called after each single change of the hosts, so an equal number means that
  // there was none.
  if (!Duty.IsAggregator || LocalSenders.size() == LocalHosts.size() + 1)
    return;
  LocalSenders = {Self};
  for (const auto &[Host, Load] : LocalHosts)
    LocalSenders.push_back(Host);
}

void load_exchange::queueForRemote(const backend_server_id &Server, float Good,
                                   float Bad) {
  if (!Duty.IsFirst)
    return;
  Records[Server].ForRemote.add(Good, Bad);
  FailureForRemote = FailureForRemote || Bad > 0;
}

void load_exchange::forget(const backend_server_id &Server) {
  const auto IsOfServer = [&](const auto &Each) {
    return Each.first == Server;
  };
  for (auto &[Host, Load] : LocalHosts)
    std::erase_if(Load.Servers, IsOfServer);
  for (auto &[DataCentre, Load] : RemoteDataCentres)
    std::erase_if(Load.Servers, IsOfServer);
  Records.erase(Server);
}

bool load_exchange::hasLocalLoad() const {
  return std::any_of(
      LocalHosts.begin(), LocalHosts.end(),
      [](const auto &Each) { return !Each.second.Servers.empty(); });
}

bool load_exchange::sendsAggregates(time_point Now) const {
  return Duty.IsInformed &&
         (Duty.IsFirst ||
          (Duty.IsAggregator && Now - AggregateAt >= TakeoverDelay));
}

std::uint32_t
load_exchange::inFlightElsewhere(const backend_server_id &Server) const {
  const auto Found = Records.find(Server);
  if (Found == Records.end())
    return 0;
  const record &Record = Found->second;
  return Duty.IsAggregator ? Record.LocalInFlight + Record.RemoteInFlight
                           : Record.AggregatedLocal + Record.AggregatedRemote;
}

peer_reported load_exchange::takeReport(const load_list &OwnLoad) {
  HasUnreportedFailure = false;
  const report_number Number =
      Reported.empty() ? report_number(1) : Reported.back().first.next();
  Reported.emplace_back(Number, OwnLoad);
  if (Reported.size() > MaxKeptReports)
    Reported.pop_front();
  const load_map Own = loadMap(OwnLoad);
  peer_reported Result{.Host = Self, .Number = Number, .Servers = {}};
  for (auto &[Server, Record] : Records) {
    const std::uint32_t InFlight = countAt(Own, Server);
    if (InFlight == 0 && Record.Unreported.isEmpty() &&
        !Record.UnreportedStatement)
      continue;
    Result.Servers.push_back({.Server = Server,
                              .Good = Record.Unreported.Good,
                              .Bad = Record.Unreported.Bad,
                              .InFlight = saturatedCount(InFlight),
                              .Statement = Record.UnreportedStatement});
    Record.Unreported = {};
    Record.UnreportedStatement.reset();
  }
  // Reports of others can leave records of servers that this host does not
  // list.
  std::erase_if(Records,
                [](const auto &Each) { return Each.second == record{}; });
  return Result;
}

// Skips 0, which marks messages without further parts.
message_round load_exchange::nextRound() {
  LastRound = LastRound.next();
  if (LastRound == message_round())
    LastRound = LastRound.next();
  return LastRound;
}

load_aggregate load_exchange::takeAggregate(const load_list &OwnLoad,
                                            bool WithLoad) {
  load_aggregate Result{
      .HasLoad = WithLoad, .Servers = {}, .Round = nextRound()};
  const load_map Own = loadMap(OwnLoad);
  for (auto &[Server, Record] : Records) {
    aggregated_load Item{.Server = Server,
                         .Local = 0,
                         .Remote = 0,
                         .Good = Record.ForLocal.Good,
                         .Bad = Record.ForLocal.Bad,
                         .Statement = Record.StatementForLocal};
    Record.ForLocal = {};
    Record.StatementForLocal.reset();
    if (WithLoad) {
      Item.Local = saturatedCount(Record.LocalInFlight + countAt(Own, Server));
      Item.Remote = saturatedCount(Record.RemoteInFlight);
    }
    if (Item.Local > 0 || Item.Remote > 0 || Item.Good > 0 || Item.Bad > 0 ||
        Item.Statement)
      Result.Servers.push_back(std::move(Item));
  }
  if (WithLoad) {
    // Receivers count the hosts that send requests by this list.
    Result.Included.emplace_back(
        Self, Reported.empty() ? report_number() : Reported.back().first);
    for (const auto &[Host, Load] : LocalHosts)
      Result.Included.emplace_back(Host, Load.Number);
  }
  return Result;
}

load_summary load_exchange::takeSummary(const load_list &OwnLoad,
                                        bool WithLoad) {
  load_summary Result{.DataCentre = OwnDataCentre,
                      .HasLoad = WithLoad,
                      .Servers = {},
                      .Round = nextRound()};
  const load_map Own = loadMap(OwnLoad);
  FailureForRemote = false;
  for (auto &[Server, Record] : Records) {
    server_report Item{.Server = Server,
                       .Statement = Record.StatementForRemote};
    Record.StatementForRemote.reset();
    // Traffic between data centres is costly, so servers without failures are
    // omitted.
    if (Record.ForRemote.Bad > 0) {
      Item.Good = Record.ForRemote.Good;
      Item.Bad = Record.ForRemote.Bad;
    }
    Record.ForRemote = {};
    if (WithLoad)
      Item.InFlight =
          saturatedCount(Record.LocalInFlight + countAt(Own, Server));
    if (Item.InFlight > 0 || Item.Bad > 0 || Item.Statement)
      Result.Servers.push_back(std::move(Item));
  }
  return Result;
}

void load_exchange::receive(const peer_reported &Report, time_point Now) {
  if (!Duty.IsAggregator)
    return;
  if (Report.HasLoad) {
    reported_load &Load = LocalHosts[Report.Host];
    replaceLoad(Load, &record::LocalInFlight, Report.Servers, Now);
    Load.Number = Report.Number;
  }
  countSenders();
  for (const server_report &Each : Report.Servers) {
    // All hosts of the data centre have already received a broadcast.
    if (Duty.IsFirst && !Report.IsBroadcast)
      Records[Each.Server].ForLocal.add(Each.Good, Each.Bad);
    queueForRemote(Each.Server, Each.Good, Each.Bad);
    forward(Each.Server, Each.Statement);
  }
}

void load_exchange::receive(const load_summary &Summary, time_point Now) {
  if (!Duty.IsAggregator || Summary.DataCentre == OwnDataCentre)
    return;
  if (Summary.HasLoad) {
    reported_load &Load = RemoteDataCentres[Summary.DataCentre];
    if (Summary.Round != message_round() && Summary.Round == Load.Round)
      addLoad(Load, &record::RemoteInFlight, Summary.Servers);
    else
      replaceLoad(Load, &record::RemoteInFlight, Summary.Servers, Now);
    Load.Round = Summary.Round;
  }
  if (Duty.IsFirst)
    for (const server_report &Each : Summary.Servers) {
      record &Record = Records[Each.Server];
      Record.ForLocal.add(Each.Good, Each.Bad);
      if (Each.Statement)
        Record.StatementForLocal = Each.Statement;
    }
}

void load_exchange::receive(const load_aggregate &Aggregate, time_point Now) {
  if (!Aggregate.HasLoad)
    return;
  AggregateAt = Now;
  // An aggregator uses the sums of the reports that it received itself.
  if (Duty.IsAggregator)
    return;
  // Each part of a long message adds to the parts before it, whichever of them
  // was lost.
  if (Aggregate.Round == message_round() || Aggregate.Round != AggregateRound) {
    clearAggregate();
    IncludedReport.reset();
    AggregateRound = Aggregate.Round;
  }
  if (!Aggregate.Included.empty()) {
    LocalSenders.clear();
    for (const auto &[Host, Number] : Aggregate.Included) {
      LocalSenders.push_back(Host);
      if (Host == Self)
        IncludedReport = Number;
    }
  }
  for (const aggregated_load &Each : Aggregate.Servers) {
    record &Record = Records[Each.Server];
    Record.AggregatedLocal = Each.Local;
    Record.AggregatedRemote = Each.Remote;
  }
  subtractOwnLoad(Aggregate);
}

// Subtracts the report of this host that the sums include, since its own
// in-flight requests are counted exactly elsewhere.
void load_exchange::subtractOwnLoad(const load_aggregate &Aggregate) {
  if (!IncludedReport)
    return;
  const auto Report =
      std::find_if(Reported.begin(), Reported.end(), [&](const auto &Each) {
        return Each.first == *IncludedReport;
      });
  if (Report == Reported.end())
    return;
  const load_map Own(Report->second.begin(), Report->second.end());
  for (const aggregated_load &Each : Aggregate.Servers) {
    std::uint32_t &Local = Records[Each.Server].AggregatedLocal;
    Local -= std::min(Local, countAt(Own, Each.Server));
  }
}

void load_exchange::clearAggregate() {
  for (auto &[Server, Record] : Records) {
    Record.AggregatedLocal = 0;
    Record.AggregatedRemote = 0;
  }
}

void load_exchange::replaceLoad(reported_load &Load, load_counter Counter,
                                const std::vector<server_report> &Servers,
                                time_point Now) {
  subtractLoad(Load, Counter);
  Load = {.Servers = {}, .At = Now};
  addLoad(Load, Counter, Servers);
}

void load_exchange::addLoad(reported_load &Load, load_counter Counter,
                            const std::vector<server_report> &Servers) {
  for (const server_report &Each : Servers) {
    if (Each.InFlight == 0)
      continue;
    Records[Each.Server].*Counter += Each.InFlight;
    Load.Servers.emplace_back(Each.Server, Each.InFlight);
  }
}

void load_exchange::subtractLoad(const reported_load &Load,
                                 load_counter Counter) {
  for (const auto &[Server, InFlight] : Load.Servers)
    Records[Server].*Counter -= InFlight;
}

template <typename Id>
void load_exchange::expire(std::map<Id, reported_load> &Loads,
                           load_counter Counter, time_point Now) {
  for (auto Each = Loads.begin(); Each != Loads.end();) {
    if (Now - Each->second.At < ReportTimeout) {
      ++Each;
      continue;
    }
    subtractLoad(Each->second, Counter);
    Each = Loads.erase(Each);
  }
}

void load_exchange::expire(time_point Now) {
  expire(LocalHosts, &record::LocalInFlight, Now);
  expire(RemoteDataCentres, &record::RemoteInFlight, Now);
  countSenders();
  if (AggregateAt != time_point() && Now - AggregateAt >= ReportTimeout) {
    AggregateAt = {};
    clearAggregate();
    if (!Duty.IsAggregator)
      LocalSenders.clear();
  }
}
