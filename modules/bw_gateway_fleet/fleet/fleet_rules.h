#ifndef BW_GATEWAY_FLEET_FLEET_FLEET_RULES_H
#define BW_GATEWAY_FLEET_FLEET_FLEET_RULES_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

/// Rules of the users' platform that the simulated fleet is checked against.
enum class fleet_rule : std::uint8_t {
  Floor, ///< Enough of the sound servers get requests.
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
  struct request_record {
    time_point Sent;
    bool IsServed = true;
  };
  ratio FloorShare;
  std::vector<request_record> Requests;
  std::vector<use_record> Uses;
};

} // namespace bw

#endif
