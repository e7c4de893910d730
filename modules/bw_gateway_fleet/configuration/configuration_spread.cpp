#include "bw_gateway_fleet/configuration/configuration_spread.h"

#include <algorithm>
#include <cmath>
#include <limits>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr time_point StartTime{100s};
// Encoded size of a route, in the exchange between hosts and in the store.
constexpr double RouteBytes = 80;
constexpr double StoreRouteBytes = 330;
// Links of 200 and 10 Mbit/s, processor shares of 0.5 and 0.1.
constexpr double LargeLink = 25e6;
constexpr double SmallLink = 1.25e6;
constexpr double LargeShare = 0.5;
constexpr double SmallShare = 0.1;
// Processor time to decode a route and put it in force.
constexpr duration RouteCost = 2us;
constexpr duration ReportInterval = 80ms;
constexpr duration StoreDelay = 50ms;
// A follower of the store that is behind for longer than this fetches.
constexpr duration MaxPropagationDelay = 300ms;
constexpr std::size_t NoticeTargetsNear = 8;
constexpr std::size_t NoticeTargetsFar = 2;
// Time in which hosts hear of each other before the change.
constexpr duration WarmUp = 1s;

const config_version NewVersion(2);

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

configuration_spread::configuration_spread(spread_options GivenOptions,
                                           std::uint64_t Seed)
    : Options(std::move(GivenOptions)), Random(Seed),
      Links(Options.Deployment, Options.LossChance) {
  Queue.at(StartTime, [] {});
  Queue.runNext();
  std::vector<gateway_host> All;
  for (std::size_t Index = 0; Index < Links.hosts(); ++Index)
    All.push_back(
        {.Host = Links.host(Index),
         .DataCentre = Links.dataCentre(Index),
         .ProcessorShare = ratio(isLarge(Index) ? LargeShare : SmallShare)});
  Hosts.resize(All.size());
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    host &Host = Hosts[Index];
    Host.Host = All[Index];
    Host.Directory = std::make_unique<host_directory>(
        host_directory_options{.Self = All[Index]});
    Host.Directory->setListedHosts(All, Queue.now());
    const double Link = isLarge(Index) ? LargeLink : SmallLink;
    Host.BytesPerSecond = Link * (1 - Options.LinkUse);
    Host.Pacer = std::make_unique<transfer_pacer>(transfer_pacer_options{
        .LinkBytesPerSecond = byte_count(static_cast<std::uint64_t>(Link))});
  }
}

spread_result configuration_spread::run() {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    scheduleReports(Index);
  const time_point Change = StartTime + WarmUp;
  Queue.at(Change, [this] {
    for (host &Host : Hosts)
      Host.IsFrozen = Random.chance(Options.FrozenShare);
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      if (isFollowing(Index) && !Hosts[Index].IsFrozen)
        readFromStore(Index);
  });
  while (Queue.now() < Change + spread_result::MaxTime && Queue.runNext()) {
  }
  for (const host &Host : Hosts)
    Result.Behind += !Host.IsFrozen && Host.Version != NewVersion ? 1U : 0U;
  if (Result.Behind == 0)
    Result.LastInForce = LastInForce - Change;
  return Result;
}

bool configuration_spread::isLarge(std::size_t Index) const {
  return Index < Options.LargeHosts * Options.Deployment.DataCentres.size();
}

// The aggregators of one data centre follow the configuration for all, and the
// first ones of two others. The store may turn the first of these away.
bool configuration_spread::isFollowing(std::size_t Index) const {
  const std::size_t Count = Options.Deployment.DataCentres.size();
  constexpr std::size_t Following = 3;
  if (Options.CutDataCentres < Count)
    return isLarge(Index) && Index % Count >= Options.CutDataCentres &&
           (Index % Count == 0 || Index < Following);
  return Index / Count == Options.LargeHosts;
}

void configuration_spread::readFromStore(std::size_t Index) {
  const double Bytes = StoreRouteBytes * double(Options.Routes);
  Queue.after(StoreDelay + fromSeconds(Bytes / Hosts[Index].BytesPerSecond),
              [this, Index] { putInForce(Index); });
}

void configuration_spread::putInForce(std::size_t Index) {
  const duration Cost = fromSeconds(
      std::chrono::duration<double>(RouteCost * Options.Routes).count() /
      Hosts[Index].Host.ProcessorShare.value());
  Queue.after(Cost, [this, Index] {
    host &Host = Hosts[Index];
    if (Host.IsFrozen || Host.Version == NewVersion)
      return;
    Host.Version = NewVersion;
    LastInForce = Queue.now();
    notify(Index);
  });
}

// Aggregators report to all hosts of their data centre, others to those.
void configuration_spread::scheduleReports(std::size_t Index) {
  const duration Jitter(static_cast<std::int64_t>(Random.below(10'000'000)));
  Queue.after(ReportInterval + Jitter, [this, Index] {
    const std::size_t Count = Options.Deployment.DataCentres.size();
    for (std::size_t To = Index % Count; To < Hosts.size(); To += Count)
      if (To != Index && (isLarge(Index) || isLarge(To)))
        report(Index, To);
    scheduleReports(Index);
  });
}

void configuration_spread::notify(std::size_t From) {
  host &Host = Hosts[From];
  std::vector<gateway_host> Targets =
      Host.Directory->randomHosts(NoticeTargetsNear, NoticeTargetsFar, Random);
  const time_point Now = Queue.now();
  const bool IsAggregator = Host.Directory->duty(Now).IsAggregator;
  for (const gateway_host &Each : IsAggregator
                                      ? Host.Directory->localHosts(Random)
                                      : std::vector<gateway_host>())
    Targets.push_back(Each);
  for (const gateway_host &Each :
       IsAggregator ? Host.Directory->remoteAggregators(Now, Random)
                    : Host.Directory->localAggregators(Now, Random))
    Targets.push_back(Each);
  for (const gateway_host &Each : Targets)
    report(From, Links.index(Each.Host));
}

void configuration_spread::report(std::size_t From, std::size_t To) {
  if (Hosts[From].IsFrozen)
    return;
  const auto Delay = Links.transit(From, To, Random);
  if (!Delay)
    return;
  const host_state State{.Version = Hosts[From].Version};
  Queue.after(*Delay, [this, From, To, State] {
    host &Host = Hosts[To];
    if (Host.IsFrozen)
      return;
    Host.Directory->recordReport(Hosts[From].Host.Host, State, Queue.now());
    considerFetch(To);
  });
}

// As the peers service reacts to a report.
void configuration_spread::considerFetch(std::size_t Index) {
  host &Host = Hosts[Index];
  const time_point Now = Queue.now();
  Host.Directory->setOwnState({.Version = Host.Version}, Now);
  const auto Holder = Host.Directory->hostWithNewerConfiguration(Now, Random);
  if (!Holder) {
    Host.BehindSince.reset();
  } else if (isFollowing(Index) && !Host.BehindSince) {
    Host.BehindSince = Now;
  } else if (!Host.Fetch && (!Host.BehindSince ||
                             Now - *Host.BehindSince > MaxPropagationDelay)) {
    startFetch(Index, *Holder);
  }
}

void configuration_spread::startFetch(std::size_t Index,
                                      const gateway_host &From) {
  ++Result.Fetches;
  const std::size_t Source = Links.index(From.Host);
  // A busy host answers at once.
  const byte_count Size(static_cast<std::uint64_t>(bodyBytes()));
  if (!Hosts[Source].IsFrozen &&
      !Hosts[Source].Pacer->tryStart(Size, Queue.now())) {
    ++Result.FailedFetches;
    Hosts[Index].Directory->recordFetchFailure(From.Host, Queue.now());
    return;
  }
  const std::uint64_t Number = ++LastTransfer;
  Hosts[Index].Fetch = transfer{
      .From = Source, .BytesLeft = bodyBytes(), .Rate = 0, .Number = Number};
  const auto EndIfOpen = [this, Index, Number] {
    if (Hosts[Index].Fetch && Hosts[Index].Fetch->Number == Number)
      endFetch(Index, false);
  };
  Queue.after(Options.Limits.Total, EndIfOpen);
  if (Hosts[Source].IsFrozen)
    Queue.after(Options.Limits.Connect, EndIfOpen);
  shareLinks();
}

void configuration_spread::endFetch(std::size_t Index, bool IsComplete) {
  host &Host = Hosts[Index];
  const std::size_t From = Host.Fetch->From;
  Host.Fetch.reset();
  if (!IsComplete) {
    ++Result.FailedFetches;
    Host.Directory->recordFetchFailure(Links.host(From), Queue.now());
  }
  if (IsComplete)
    Queue.after(transit(From, Index), [this, Index] { putInForce(Index); });
  shareLinks();
}

void configuration_spread::shareLinks() {
  const time_point Now = Queue.now();
  const double Elapsed = std::chrono::duration<double>(Now - Shared).count();
  Shared = Now;
  std::vector<std::size_t> Uploads(Hosts.size());
  for (host &Host : Hosts) {
    if (!Host.Fetch)
      continue;
    Host.Fetch->BytesLeft -= Host.Fetch->Rate * Elapsed;
    ++Uploads[Host.Fetch->From];
  }
  double NextEnd = std::numeric_limits<double>::infinity();
  for (host &Host : Hosts) {
    if (!Host.Fetch)
      continue;
    const host &Source = Hosts[Host.Fetch->From];
    Host.Fetch->Rate = Source.IsFrozen
                           ? 0
                           : std::min(Host.BytesPerSecond,
                                      Source.BytesPerSecond /
                                          double(Uploads[Host.Fetch->From]));
    if (Host.Fetch->Rate > 0)
      NextEnd = std::min(NextEnd, std::max(0.0, Host.Fetch->BytesLeft) /
                                      Host.Fetch->Rate);
  }
  const std::uint64_t This = ++Sharing;
  if (!std::isfinite(NextEnd))
    return;
  Queue.after(fromSeconds(NextEnd) + 1us, [this, This] {
    if (This != Sharing)
      return;
    shareLinks();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      if (Hosts[Index].Fetch && Hosts[Index].Fetch->BytesLeft <= 0)
        endFetch(Index, true);
  });
}

double configuration_spread::bodyBytes() const {
  return RouteBytes * double(Options.Routes);
}

duration configuration_spread::transit(std::size_t From, std::size_t To) {
  return Links.transit(From, To, Random).value_or(Options.Deployment.OneWay);
}
