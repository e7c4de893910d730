#include "tests/soak/soak_callers.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <memory>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

constexpr duration CallerDeadline = 4s;
// Enough requests that a server of five gets some in two seconds by chance.
constexpr std::uint64_t LongestThought = 60;

constexpr duration LongestWait = 1500ms;
// Callers of the customer with an allowance ask beyond it and then stay inside
// it in turn. The calm time is longer than the window of the allowances, so
// that its end shows wrong refusals.
constexpr duration FloodTime = 7s;
constexpr duration CalmTime = 6s;
constexpr duration CalmPause = 900ms;

duration thought(random_source &Chance) {
  return std::chrono::milliseconds(10 + Chance.below(LongestThought));
}

} // namespace

void soak_callers::start() {
  const int Ordinary = Course.Options.Callers;
  for (int Index = 0; Index < Ordinary + Course.Options.GreedyCallers; ++Index)
    Threads.emplace_back([this, Index, Ordinary] {
      callOn(Index, Index < Ordinary ? ordinary() : greedy());
    });
}

caller_conduct soak_callers::ordinary() const {
  return {
      .PickKey =
          [this](random_source &Chance) { return Operators.pickKey(Chance); },
      // A refused caller comes back as it was told.
      .Pause =
          [](random_source &Chance, duration RetryAfter) {
            return std::max(thought(Chance), RetryAfter);
          }};
}

// Ignores the times that answers ask to wait.
caller_conduct soak_callers::greedy() {
  return {.PickKey = [](random_source &) { return TownshipKey; },
          .Pause =
              [this](random_source &Chance, duration) {
                const duration Passed = (Course.Clock.now() - Course.Start) %
                                        (FloodTime + CalmTime);
                return Passed < FloodTime ? thought(Chance) : CalmPause;
              }};
}

void soak_callers::end() {
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
}

asked_request soak_callers::nextRequest(random_source &Chance,
                                        const request_label &Label,
                                        const caller_conduct &Conduct) const {
  asked_request Result{.Label = Label, .Method = "GET", .IsRepeatable = true};
  const std::uint64_t Kind = Chance.below(10);
  const std::uint64_t Newest = Operators.lastVersion();
  Result.Key = Conduct.PickKey(Chance);
  if (Kind <= 2) {
    Result.Method = "POST";
    Result.Target = "/submit/x/500/" + Label.value();
    Result.Body = emulatedBody(Label, "entry", Chance.below(4000));
    Result.IsRepeatable = false;
    Result.Services = {Records};
  } else if (Kind <= 5) {
    Result.Target = "/read/x/2000/" + Label.value();
    Result.Services = {Records};
  } else if (Kind <= 8 || Newest < 2) {
    Result.Target = "/export/x/150000/" + Label.value();
    Result.IsPublic = true;
    if (Chance.chance(0.5))
      Result.Key.clear();
    Result.Services = {Records, Archive};
  } else {
    const std::uint64_t Version = 2 + Chance.below(Newest - 1);
    Result.Target = "/v" + std::to_string(Version) + "/x/100/a";
    Result.Services = {Records};
    Result.Since = config_version(Version);
  }
  return Result;
}

void soak_callers::callOn(int Index, const caller_conduct &Conduct) {
  random_source Chance(
      mixHash(Course.Options.Seed, std::uint64_t(Index) + 1000));
  std::uint64_t Number = 0;
  std::unique_ptr<caller_connection_client> Connection;
  soak_host *Host = nullptr;
  // Hosts that start together are ready within a second.
  std::this_thread::sleep_for(1500ms);
  while (!IsOver) {
    if (!Connection || !Connection->isOpen() || Chance.chance(0.1)) {
      Host = &Hosts.pickReady(Chance);
      Connection = std::make_unique<caller_connection_client>(Host->Address,
                                                              Course.Names);
    }
    if (Connection->isOpen()) {
      asked_request Request =
          nextRequest(Chance,
                      request_label("c" + std::to_string(Index) + "n" +
                                    std::to_string(++Number)),
                      Conduct);
      Request.Host = Host->Id;
      Request.At = Course.Clock.now();
      Course.Checker.asked(Request);
      Course.Checker.answered(
          Connection->call(Request, CallerDeadline, Course.Clock));
    }
    const auto RetryAfter = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Connection->retryAfter()));
    std::this_thread::sleep_for(
        std::min(Conduct.Pause(Chance, RetryAfter), LongestWait));
  }
}
