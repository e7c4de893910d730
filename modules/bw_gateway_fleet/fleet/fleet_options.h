#ifndef BW_GATEWAY_FLEET_FLEET_FLEET_OPTIONS_H
#define BW_GATEWAY_FLEET_FLEET_FLEET_OPTIONS_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_gateway/servers/data_centre_choice.h"
#include "bw_simulation/links/link_model.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace bw {

/// A fault or a planned change that affects a share of the servers or hosts.
struct fleet_fault {
  enum class kind : std::uint8_t {
    Gray,        ///< Servers fail the share `Strength` of their requests.
    Slow,        ///< Servers take `Strength` times as long.
    Crash,       ///< Servers end for good; their entries lapse.
    Start,       ///< New servers join; `Share` is relative to the initial ones.
    HostRestart, ///< Hosts lose all state and start again at once.
    Limit,       ///< Servers name a limit of `Strength` requests per second.
    Leave,  ///< Servers say for good that they leave; the list does not say so.
    Refuse, ///< Servers decline requests, and want none for `Strength` seconds.
  };
  kind Kind = kind::Gray;
  duration At{};
  duration Length = std::chrono::seconds(5);
  double Share = 0.15;
  double Strength = 0.5;
};

/// A fleet of gateways in front of one service, its load and its faults. The
/// defaults follow the larger service of the users' largest site.
struct fleet_options {
  deployment Deployment{
      "filing",
      {"baneshwor", "lalitpur", "bhaktapur", "thamel", "kirtipur"},
      97,
      std::chrono::milliseconds(5)};
  std::size_t Servers = 205;
  std::uint32_t Slots = 2;
  double RequestsPerSecond = 640;
  /// Share of requests that must not be executed more than once.
  double SubmissionShare = 0.8;
  double WorkSeconds = 0.26;
  double HealthyFailureShare = 0.012;
  /// Share of servers that fail most requests for a second every ten seconds.
  double BurstyShare = 0.3;
  /// Share of the reports between hosts that are lost.
  double LossChance = 0.005;
  duration Length = std::chrono::seconds(20);
  std::vector<fleet_fault> Faults = {};
  /// The floor that the gateways are given and that is checked.
  ratio FloorShare{0.7};
  /// Makes the choice of the data centre for each host.
  std::function<data_centre_choice()> DataCentreChoice = [] {
    return data_centre_choice();
  };
};

/// The smaller service of the same site: few servers, little traffic, and all
/// requests may be repeated.
fleet_options smallService();

/// Adds four to eight faults, drawn with the seed, that overlap.
fleet_options withDrawnFaults(fleet_options Options, std::uint64_t Seed);

} // namespace bw

#endif
