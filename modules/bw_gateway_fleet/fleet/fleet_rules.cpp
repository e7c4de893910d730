#include "bw_gateway_fleet/fleet/fleet_rules.h"

#include <fmt/format.h>

#include <algorithm>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// The floor binds while more than a tenth but less than half of the requests
// are not served.
constexpr double MinUnservedShare = 0.1;
constexpr double MaxUnservedShare = 0.5;

} // namespace

std::string_view bw::ruleName(fleet_rule Rule) {
  switch (Rule) {
  case fleet_rule::Floor:
    return "FLOOR";
  }
  return "";
}

void fleet_rules::recordRequest(time_point Sent, bool IsServed) {
  Requests.push_back({Sent, IsServed});
}

void fleet_rules::recordUse(time_point At, std::size_t Sound,
                            std::size_t Used) {
  Uses.push_back({At, Sound, Used});
}

fleet_rules::use_record fleet_rules::leastUse() const {
  const auto Least =
      std::min_element(Uses.begin(), Uses.end(),
                       [](const use_record &Left, const use_record &Right) {
                         return Left.share() < Right.share();
                       });
  return Least == Uses.end() ? use_record() : *Least;
}

std::vector<fleet_violation> fleet_rules::violations() const {
  std::vector<fleet_violation> Result;
  time_point NextReport{};
  for (const use_record &Use : Uses) {
    const bool IsBelow =
        Use.Used > 0 &&
        double(Use.Used) < FloorShare.value() * double(Use.Sound);
    if (!IsBelow || Use.At < NextReport)
      continue;
    const auto IsInWindow = [&](const request_record &Each) {
      return Each.Sent > Use.At - FloorWindow && Each.Sent <= Use.At;
    };
    const auto Sent =
        std::count_if(Requests.begin(), Requests.end(), IsInWindow);
    const auto Unserved = std::count_if(
        Requests.begin(), Requests.end(), [&](const request_record &Each) {
          return IsInWindow(Each) && !Each.IsServed;
        });
    if (double(Unserved) <= MinUnservedShare * double(Sent) ||
        double(Unserved) >= MaxUnservedShare * double(Sent))
      continue;
    Result.push_back(
        {.Rule = fleet_rule::Floor,
         .At = Use.At,
         .Detail = fmt::format(
             "{} of {} sound servers got nothing, {} of {} requests unserved",
             Use.Sound - Use.Used, Use.Sound, Unserved, Sent)});
    NextReport = Use.At + 1s;
  }
  return Result;
}
