#ifndef BW_GATEWAY_FLEET_FLEET_FLEET_RULES_H
#define BW_GATEWAY_FLEET_FLEET_FLEET_RULES_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bw {

/// Rules of the users' platform that the simulated fleet is checked against.
enum class fleet_rule : std::uint8_t {
  Floor, ///< Enough of the sound servers get requests.
  Limit, ///< A server that names a limit gets no more than that.
  Drain, ///< A server that leaves gets no request from a host that was told.
  Defer, ///< A server is left alone for the time that it asked for.
};

std::string_view ruleName(fleet_rule Rule);

struct fleet_violation {
  fleet_rule Rule = fleet_rule::Floor;
  time_point At{};
  std::string Detail;
};

/// Checks the rules from what callers and servers saw, without access to the
/// state of the gateways.
class fleet_rules {
public:
  explicit fleet_rules(ratio FloorShare) : FloorShare(FloorShare) {}

  /// Records a request of a caller when its outcome is known.
  void recordRequest(time_point Sent, bool IsServed);
  /// Records how many sound servers there are at the end of a window, and how
  /// many of them got a request in it.
  void recordUse(time_point At, std::size_t Sound, std::size_t Used);

  struct use_record {
    time_point At;
    std::size_t Sound = 0;
    std::size_t Used = 0;

    double share() const {
      return Sound == 0 ? 1 : double(Used) / double(Sound);
    }
  };
  /// Records a request that reached a server. `Sent` is when the caller sent
  /// it.
  void recordArrival(std::size_t Server, std::size_t Host, time_point Sent,
                     time_point At);
  /// Records that a server names a limit, in requests per second, from now on.
  void recordLimit(std::size_t Server, double Limit, time_point From,
                   time_point Until);
  /// Records that a host has passed on an answer with this statement.
  void recordPassedOn(std::size_t Server, std::size_t Host, bool IsLimited,
                      bool IsLeaving, time_point At);
  /// Records that a server refused a request of a host and wants none until
  /// then.
  void recordDeferral(std::size_t Server, std::size_t Host, time_point At,
                      time_point Until);

  /// Returns the window in which the smallest share of the sound servers was in
  /// use.
  use_record leastUse() const;
  /// Returns the violations, at most one for each rule and second.
  std::vector<fleet_violation> violations() const;

  /// The span in which sound servers must get requests.
  static constexpr duration FloorWindow = std::chrono::seconds(2);
  /// Servers count as sound this long after an injected fault has ended.
  static constexpr duration SoundAfterFault = std::chrono::seconds(6);
  /// Servers count as sound this long after a failure of their own.
  static constexpr duration SoundAfterOwnFailure = std::chrono::seconds(2);

private:
  struct arrival {
    std::size_t Host = 0;
    time_point Sent;
    time_point At;
  };
  struct limited_time {
    double Limit = 0;
    time_point From;
    time_point Until;
  };
  struct deferral {
    std::size_t Server = 0;
    std::size_t Host = 0;
    time_point At;
    time_point Until;
  };
  using link = std::pair<std::size_t, std::size_t>;

  void checkFloor(std::vector<fleet_violation> &Result) const;
  void checkLimits(std::vector<fleet_violation> &Result) const;
  void checkLeaving(std::vector<fleet_violation> &Result) const;
  void checkDeferrals(std::vector<fleet_violation> &Result) const;

  struct request_record {
    time_point Sent;
    bool IsServed = true;
  };
  ratio FloorShare;
  std::vector<request_record> Requests;
  std::vector<use_record> Uses;
  std::map<std::size_t, std::vector<arrival>> Arrivals;
  std::map<std::size_t, limited_time> Limits;
  /// When a host first passed on such an answer of a server.
  std::map<link, time_point> PassedOnLimit;
  std::map<link, time_point> PassedOnLeaving;
  std::vector<deferral> Deferrals;
};

} // namespace bw

#endif
