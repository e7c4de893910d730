#include "bw_gateway_fleet/fleet/fleet_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// The floor binds while more than a tenth but less than half of the requests
// are not served.
constexpr double MinUnservedShare = 0.1;
constexpr double MaxUnservedShare = 0.5;
// A limit binds this long after it was first named, and for hosts that passed
// it on this long ago.
constexpr duration LimitDelay = 3s;
constexpr duration HostDelay = 500ms;
constexpr duration LimitWindow = 4s;
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
constexpr duration DrainBound = 2500ms;
constexpr std::size_t DeferralSlack = 2;

} // namespace

std::string_view bw::ruleName(fleet_rule Rule) {
  switch (Rule) {
  case fleet_rule::Floor:
    return "FLOOR";
  case fleet_rule::Limit:
    return "LIMIT";
  case fleet_rule::Drain:
    return "DRAIN";
  case fleet_rule::Defer:
    return "BUDGET";
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

void fleet_rules::recordArrival(std::size_t Server, std::size_t Host,
                                time_point Sent, time_point At) {
  Arrivals[Server].push_back({Host, Sent, At});
}

void fleet_rules::recordLimit(std::size_t Server, double Limit, time_point From,
                              time_point Until) {
  Limits[Server] = {Limit, From, Until};
}

void fleet_rules::recordPassedOn(std::size_t Server, std::size_t Host,
                                 bool IsLimited, bool IsLeaving,
                                 time_point At) {
  if (IsLimited)
    PassedOnLimit.try_emplace({Server, Host}, At);
  if (IsLeaving)
    PassedOnLeaving.try_emplace({Server, Host}, At);
}

void fleet_rules::recordDeferral(std::size_t Server, std::size_t Host,
                                 time_point At, time_point Until) {
  Deferrals.push_back({Server, Host, At, Until});
}

std::vector<fleet_violation> fleet_rules::violations() const {
  std::vector<fleet_violation> Result;
  checkFloor(Result);
  checkLimits(Result);
  checkLeaving(Result);
  checkDeferrals(Result);
  return Result;
}

void fleet_rules::checkLimits(std::vector<fleet_violation> &Result) const {
  for (const auto &[Server, Limited] : Limits) {
    const auto Found = Arrivals.find(Server);
    if (Found == Arrivals.end())
      continue;
    const double Allowed =
        LimitFactor * Limited.Limit *
            std::chrono::duration<double>(LimitWindow).count() +
        LimitSlack;
    std::deque<time_point> Window;
    std::size_t Most = 0;
    time_point MostAt{};
    for (const arrival &Each : Found->second) {
      const auto Passed = PassedOnLimit.find({Server, Each.Host});
      if (Each.At < Limited.From + LimitDelay || Each.At > Limited.Until ||
          Passed == PassedOnLimit.end() || Each.At < Passed->second + HostDelay)
        continue;
      Window.push_back(Each.At);
      while (Window.front() <= Each.At - LimitWindow)
        Window.pop_front();
      if (Window.size() > Most) {
        Most = Window.size();
        MostAt = Each.At;
      }
    }
    if (double(Most) > Allowed)
      Result.push_back(
          {.Rule = fleet_rule::Limit,
           .At = MostAt,
           .Detail = fmt::format(
               "server {} with a limit of {} got {} requests in 4 s", Server,
               Limited.Limit, Most)});
  }
}

void fleet_rules::checkLeaving(std::vector<fleet_violation> &Result) const {
  for (const auto &[Link, Passed] : PassedOnLeaving) {
    const auto Found = Arrivals.find(Link.first);
    if (Found == Arrivals.end())
      continue;
    for (const arrival &Each : Found->second)
      if (Each.Host == Link.second && Each.Sent > Passed + DrainBound) {
        Result.push_back({.Rule = fleet_rule::Drain,
                          .At = Each.At,
                          .Detail = fmt::format("leaving server {} got a "
                                                "request of host {}",
                                                Link.first, Each.Host)});
        break;
      }
  }
}

void fleet_rules::checkDeferrals(std::vector<fleet_violation> &Result) const {
  for (const deferral &Deferral : Deferrals) {
    const auto Found = Arrivals.find(Deferral.Server);
    const auto Count =
        Found == Arrivals.end()
            ? 0
            : std::count_if(Found->second.begin(), Found->second.end(),
                            [&](const arrival &Each) {
                              return Each.Host == Deferral.Host &&
                                     Each.At >= Deferral.At + HostDelay &&
                                     Each.At < Deferral.Until;
                            });
    if (static_cast<std::size_t>(Count) > DeferralSlack)
      Result.push_back(
          {.Rule = fleet_rule::Defer,
           .At = Deferral.At,
           .Detail = fmt::format("server {} got {} requests of host {} that it "
                                 "did not want",
                                 Deferral.Server, Count, Deferral.Host)});
  }
}

void fleet_rules::checkFloor(std::vector<fleet_violation> &Result) const {
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
}
