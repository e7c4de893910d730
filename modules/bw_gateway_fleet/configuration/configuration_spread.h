#ifndef BW_GATEWAY_FLEET_CONFIGURATION_CONFIGURATION_SPREAD_H
#define BW_GATEWAY_FLEET_CONFIGURATION_CONFIGURATION_SPREAD_H

#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/hosts/fetch_limits.h"
#include "bw_gateway/hosts/host_directory.h"
#include "bw_gateway/hosts/transfer_pacer.h"
#include "bw_simulation/links/link_model.h"
#include "bw_simulation/time/event_queue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace bw {

/// A fleet of unequal hosts to which a new configuration spreads. The defaults
/// follow the users' largest site.
struct spread_options {
  deployment Deployment{
      "filing",
      {"baneshwor", "lalitpur", "bhaktapur", "thamel", "kirtipur"},
      97,
      std::chrono::milliseconds(5)};
  /// Routes of the new configuration, of which the whole body is sent.
  std::size_t Routes = 1'500;
  /// Large hosts of each data centre; the others have a twentieth of their link
  /// and a fifth of their processor.
  std::size_t LargeHosts = 2;
  double LossChance = 0.01;
  /// Share of each link that other traffic uses.
  double LinkUse = 0.3;
  /// Data centres whose aggregators cannot reach the store. If all are cut off,
  /// one small host of each data centre reads it.
  std::size_t CutDataCentres = 0;
  /// Share of the hosts that stop for the whole run after their first report.
  double FrozenShare = 0;
  fetch_limits Limits = {};
};

struct spread_result {
  /// Time from the change of the store until the last live host has the
  /// configuration in force; nothing if some do not within `MaxTime`.
  std::optional<duration> LastInForce;
  std::size_t Behind = 0;
  std::size_t Fetches = 0;
  std::size_t FailedFetches = 0;

  static constexpr duration MaxTime = std::chrono::seconds(20);
};

/// Spreads one new configuration among hosts in virtual time. Each host tracks
/// the others with a `host_directory`; links are shared equally by the
/// transfers on them. The same seed gives the same run.
class configuration_spread {
public:
  configuration_spread(spread_options Options, std::uint64_t Seed);
  configuration_spread(const configuration_spread &) = delete;
  configuration_spread &operator=(const configuration_spread &) = delete;

  spread_result run();

private:
  struct transfer {
    std::size_t From = 0;
    double BytesLeft = 0;
    double Rate = 0;
    std::uint64_t Number = 0;
  };
  struct host {
    gateway_host Host;
    std::unique_ptr<host_directory> Directory;
    std::unique_ptr<transfer_pacer> Pacer;
    config_version Version{1};
    double BytesPerSecond = 0;
    bool IsFrozen = false;
    std::optional<time_point> BehindSince;
    /// The fetch in progress.
    std::optional<transfer> Fetch;
  };

  bool isLarge(std::size_t Index) const;
  bool isFollowing(std::size_t Index) const;
  void readFromStore(std::size_t Index);
  void putInForce(std::size_t Index);
  void scheduleReports(std::size_t Index);
  void report(std::size_t From, std::size_t To);
  void notify(std::size_t From);
  void considerFetch(std::size_t Index);
  void startFetch(std::size_t Index, const gateway_host &From);
  void endFetch(std::size_t Index, bool IsComplete);
  /// Advances all transfers to the present and shares the links anew.
  void shareLinks();
  double bodyBytes() const;
  duration transit(std::size_t From, std::size_t To);

  spread_options Options;
  random_source Random;
  event_queue Queue;
  link_model Links;
  std::vector<host> Hosts;
  time_point Shared{};
  std::uint64_t LastTransfer = 0;
  std::uint64_t Sharing = 0;
  spread_result Result;
  time_point LastInForce{};
};

} // namespace bw

#endif
