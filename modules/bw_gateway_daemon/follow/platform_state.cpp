#include "bw_gateway_daemon/follow/platform_state.h"

#include "bw_core/random/stable_hash.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>
#include <set>
#include <utility>

using namespace bw;

namespace {

// Covers only the members that affect where requests may be sent. ColdRemaining
// is omitted, as it changes with each report of a server.
list_digest digestOf(const std::vector<listed_server> &Servers) {
  std::uint64_t Result = 0;
  for (const listed_server &Each : Servers) {
    std::uint64_t Hash = stableHash(Each.Server.value());
    Hash = mixHash(Hash, stableHash(Each.Service.value()));
    Hash = mixHash(Hash, stableHash(Each.DataCentre.value()));
    Hash = mixHash(Hash, stableHash(Each.Address.value()));
    Hash = mixHash(Hash, Each.Slots.value());
    Hash = mixHash(Hash, Each.Leaving ? 1 : 0);
    Hash = mixHash(Hash, Each.Start.value());
    // Addition makes the digest independent of the list order.
    Result += Hash;
  }
  return list_digest(Result);
}

// Covers the listed hosts and this one.
list_digest digestOf(const std::vector<gateway_host> &Hosts,
                     const gateway_host &Self) {
  std::set<host_id> Names = {Self.Host};
  for (const gateway_host &Each : Hosts)
    Names.insert(Each.Host);
  std::uint64_t Result = 0;
  for (const host_id &Each : Names)
    Result = mixHash(Result, stableHash(Each.value()));
  return list_digest(Result);
}

// Fractions of the drain bound. If both aggregators of a data centre fail
// before they pass on a change, another host reads the list after at most 0.75
// of the bound; the rest is left for the calls.
constexpr double ReadIntervalShare = 0.45;
constexpr double ReadBehindFirstShare = 0.53;
constexpr double ReadInOtherDataCentreShare = 0.57;
constexpr double ReadWhenOlderShare = 0.6;
constexpr double ReadSpreadShare = 0.15;

// An entry expires after three heartbeat intervals without renewal. The last
// renewal may be up to one interval before an outage, so an outage of up to two
// intervals expires no entries.
constexpr int OutageHeartbeats = 2;

// Greatest share of the revocation bound by which hosts delay reading the store
// themselves, so that those that read first can answer the others.
constexpr double ReadDelayShare = 0.1;

configuration_freshness_options
randomized(configuration_freshness_options Options, random_source &Random) {
  Options.ReadShare += ReadDelayShare * Random.unit();
  Options.FirstQuery = query_number(Random.next());
  return Options;
}

duration scaled(duration Whole, double Share) {
  return std::chrono::duration_cast<duration>(Whole * Share);
}

} // namespace

platform_state::platform_state(runtime_clock &Clock,
                               platform_state_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)), Random(Options.Seed),
      Directory(
          {.Self = Options.Self,
           .ReadInterval = scaled(Options.DrainBound, ReadIntervalShare),
           .BackupReadAge = scaled(Options.DrainBound, ReadBehindFirstShare),
           .RemoteBackupReadAge =
               scaled(Options.DrainBound, ReadInOtherDataCentreShare),
           .FallbackReadAge = scaled(Options.DrainBound, ReadWhenOlderShare),
           .ReadSpread = scaled(Options.DrainBound, ReadSpreadShare)}),
      Freshness(randomized(Options.Freshness, Random)) {}

void platform_state::attach(service_registry &Registry) {
  Decide = &Registry.find<gateway_event_sink>(gateway_event_sink::ServiceName)
                .events();
}

bool platform_state::recordEra(store_era Answered) {
  const std::lock_guard Guard(Mutex);
  // Without an era, an answer may be of any.
  if (Answered == store_era())
    return true;
  if (Answered >= Era) {
    raiseEra(Answered, era_source::Store);
    return true;
  }
  if (!HasLoggedEarlierEra)
    logEvent(log_event::StoreAnswerOutdated,
             {{"era", std::to_string(Answered.value())},
              {"known_era", std::to_string(Era.value())}});
  HasLoggedEarlierEra = true;
  return false;
}

store_era platform_state::era() const {
  const std::lock_guard Guard(Mutex);
  return Era;
}

void platform_state::raiseEra(store_era Known, era_source Source) {
  if (Known <= Era)
    return;
  const store_era Before = std::exchange(Era, Known);
  HasLoggedEarlierEra = false;
  // The era that a process sees first is not a change.
  if (Before == store_era())
    return;
  Freshness.recordRestore(Clock.bootNow());
  const store_position Position =
      Servers ? Servers->Position : store_position();
  logEvent(log_event::StoreEraChanged,
           {{"era", std::to_string(Known.value())},
            {"era_before", std::to_string(Before.value())},
            {"list_era", std::to_string(Position.Era.value())},
            {"list_revision", std::to_string(Position.Revision.value())},
            {"by", Source == era_source::Store ? "store" : "host"}});
}

bool platform_state::offerServersRead(servers_listed Offered) {
  const std::lock_guard Guard(Mutex);
  const time_point Now = Clock.now();
  const store_position Read = Offered.Position;
  Directory.recordListRead(Now);
  const bool IsApplied = applyServers(std::move(Offered), Now, true);
  if (!IsApplied && !HasLoggedOutdated)
    logOutdated(Read);
  HasLoggedOutdated = !IsApplied;
  OnServersRead();
  return IsApplied;
}

// A list that is ignored leaves no other trace than what becomes of requests.
void platform_state::logOutdated(const store_position &Read) {
  const store_position &InUse = Servers->Position;
  logEvent(log_event::ServerListOutdated,
           {{"era", std::to_string(Read.Era.value())},
            {"revision", std::to_string(Read.Revision.value())},
            {"era_in_use", std::to_string(InUse.Era.value())},
            {"revision_in_use", std::to_string(InUse.Revision.value())}});
}

void platform_state::offerServers(servers_listed Offered, duration Age) {
  const std::lock_guard Guard(Mutex);
  const list_digest Before = Digest;
  raiseEra(Offered.Position.Era, era_source::OtherHost);
  applyServers(std::move(Offered), Clock.now() - Age, false);
  if (Digest != Before)
    OnServersConfirmed();
}

// Readings of this host come one after the other, so the last one is the newest
// even if the positions have no order.
bool platform_state::isOutdated(const servers_listed &Offered,
                                time_point ReadAt, bool IsOwn) const {
  if (Offered.Position.isComparableTo(Servers->Position))
    return Offered.Position.isBefore(Servers->Position);
  return !IsOwn && ReadAt <= *ServersReadAt;
}

bool platform_state::applyServers(servers_listed Offered, time_point ReadAt,
                                  bool IsOwn) {
  if (Servers && isOutdated(Offered, ReadAt, IsOwn))
    return false;
  if (Servers) {
    const time_point Now = Clock.now();
    Directory.setOwnState(ownStateLocked(), Now);
    // A copy of the store lacks the servers that registered after it was made.
    Offered.IsAfterOutage = (Servers->Position.hasEra() &&
                             Servers->Position.Era < Offered.Position.Era) ||
                            ReadAt - Directory.listConfirmedAt() >
                                OutageHeartbeats * Options.HeartbeatInterval;
    if (Servers->Position.Era != Offered.Position.Era)
      ServersReadAt.reset();
  }
  Digest = digestOf(Offered.Servers);
  ServersReadAt = ServersReadAt ? std::max(*ServersReadAt, ReadAt) : ReadAt;
  Servers = std::make_shared<const servers_listed>(std::move(Offered));
  // Forwarded even if unchanged, as the age of the list matters.
  Decide->push(servers_listed(*Servers));
  return true;
}

void platform_state::offerConfiguration(
    std::shared_ptr<const gateway_configuration> Offered) {
  const std::lock_guard Guard(Mutex);
  if (!Offered || (Configuration && Offered->Version <= Configuration->Version))
    return;
  Configuration = std::move(Offered);
  Freshness.setVersion(Configuration->Version, Clock.bootNow());
  Decide->push(configuration_read{Configuration});
  OnConfiguration();
}

void platform_state::offerHosts(const std::vector<gateway_host> &Offered) {
  const std::lock_guard Guard(Mutex);
  if (Offered == Hosts)
    return;
  Hosts = Offered;
  HostsDigest = digestOf(Hosts, Options.Self);
  Directory.setListedHosts(Hosts, Clock.now());
  Decide->push(hosts_counted{
      .Hosts = static_cast<std::uint32_t>(Directory.listedHosts() + 1),
      .LocalHosts =
          static_cast<std::uint32_t>(Directory.listedLocalHosts() + 1)});
}

void platform_state::heard(const host_id &Host, const host_state &State) {
  const std::lock_guard Guard(Mutex);
  const time_point Now = Clock.now();
  Directory.setOwnState(ownStateLocked(), Now);
  raiseEra(State.Era, era_source::OtherHost);
  updateFreshness([&] { Freshness.recordReportedVersion(State.Version); });
  // The first aggregator passes the confirmation on. Without it, the hosts of
  // its data centre would read the list from the store.
  if (Directory.recordReport(Host, State, Now) && Directory.duty(Now).IsFirst)
    OnServersConfirmed();
}

host_state platform_state::ownStateLocked() const {
  return {.Version = Configuration ? Configuration->Version : config_version(),
          .ListPosition = Servers ? Servers->Position : store_position(),
          .ListDigest = Digest,
          .ListAge =
              ServersReadAt ? Clock.now() - *ServersReadAt : duration::max(),
          .HostsDigest = HostsDigest,
          .ConfirmedAge =
              Servers ? Clock.now() - Directory.listReadAt() : duration::max(),
          .Era = Era};
}

host_state platform_state::ownState() const {
  const std::lock_guard Guard(Mutex);
  return ownStateLocked();
}

std::shared_ptr<const servers_listed> platform_state::servers() const {
  const std::lock_guard Guard(Mutex);
  return Servers;
}

std::shared_ptr<const gateway_configuration>
platform_state::configuration() const {
  const std::lock_guard Guard(Mutex);
  return Configuration;
}

std::vector<gateway_host> platform_state::hosts() const {
  const std::lock_guard Guard(Mutex);
  return Hosts;
}
