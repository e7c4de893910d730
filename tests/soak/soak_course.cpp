#include "tests/soak/soak_course.h"

#include "platform/wire/wire_names.h"

#include <algorithm>
#include <sstream>
#include <thread>
#include <tuple>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

soak_course::soak_course(const soak_options &Options)
    : Options(Options), Bounds{.CustomerField =
                                   platform::relayHeaders().Customer},
      Random(Options.Seed), Names(platform::relayHeaders()),
      Start(Clock.now()) {}

bool soak_course::action::operator<(const action &Other) const {
  return std::tie(At, Order) > std::tie(Other.At, Other.Order);
}

duration soak_course::span(duration Least, duration Most) {
  return Least +
         std::chrono::duration_cast<duration>((Most - Least) * Random.unit());
}

void soak_course::note(const std::string &Text) {
  std::ostringstream Line;
  Line.precision(3);
  Line << std::fixed
       << std::chrono::duration<double>(Clock.now() - Start).count() << " "
       << Text;
  Timeline.push_back(Line.str());
}

void soak_course::at(time_point When, std::function<void()> Act) {
  Actions.push({.At = When, .Order = ++LastOrder, .Act = std::move(Act)});
}

void soak_course::after(duration Wait, std::function<void()> Act) {
  at(Clock.now() + Wait, std::move(Act));
}

void soak_course::act(const std::function<void(time_point)> &OnCheck) {
  constexpr duration CheckInterval = 500ms;
  time_point NextCheck = Clock.now() + CheckInterval;
  while (!Actions.empty()) {
    const time_point Now = Clock.now();
    if (Now >= NextCheck) {
      OnCheck(Now);
      NextCheck = Now + CheckInterval;
    }
    const action Next = Actions.top();
    if (Next.At > Now) {
      std::this_thread::sleep_for(std::min(Next.At, NextCheck) - Now);
      continue;
    }
    Actions.pop();
    Next.Act();
  }
}
