#include "tests/slow_clients/replay.h"

#include "platform/wire/wire_names.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace bw;
using namespace bw::slow_clients;
using namespace std::chrono_literals;

namespace {

// Rounds of a tenth of a second between two ordinary requests.
constexpr int RoundsBetweenRequests = 10;
// Longer than the limit of bw-load on each response.
constexpr std::chrono::seconds BurstLimit(150);
constexpr std::chrono::milliseconds SampleInterval(50);

std::string repeat(const std::string &Text, int Count) {
  std::string Result;
  for (int Index = 0; Index < Count; ++Index)
    Result += Text;
  return Result;
}

// Takes samples while the clients are there, and the final figures.
class observation {
public:
  explicit observation(gateway_under_test &Gateway) : Gateway(Gateway) {}

  void sample() {
    Result.PeakDescriptors =
        std::max(Result.PeakDescriptors, Gateway.openDescriptors());
  }
  void ask() {
    ++Result.Asked;
    Result.Answered += Gateway.answersOnce() ? 1 : 0;
  }
  replay_result finish() {
    Result.IsAnsweredAfterwards = Gateway.answersOrdinaryRequest();
    Result.PeakMemory = Gateway.peakMemory();
    Result.IsAlive = Gateway.isAlive();
    return Result;
  }

  replay_result Result;

private:
  gateway_under_test &Gateway;
};

replay_result playCrowd(gateway_limits Limits, const crowd_options &Options) {
  gateway_under_test Gateway(Limits, server_conduct::Answers);
  observation Seen(Gateway);
  {
    crowd Crowd(Gateway.address(), Options);
    int Round = 0;
    Crowd.play([&] {
      Seen.sample();
      if (++Round % RoundsBetweenRequests == 0)
        Seen.ask();
    });
    std::cout << "  " << Crowd.connected() << " of " << Options.Size
              << " clients are connected\n";
  }
  return Seen.finish();
}

replay_result playBurst(gateway_limits Limits, std::size_t Requests) {
  gateway_under_test Gateway(Limits, server_conduct::AnswersLate);
  observation Seen(Gateway);
  const std::string Url = "http://" + Gateway.address().Ip + ":" +
                          std::to_string(Gateway.address().Port) +
                          "/crowd/x/1000";
  harness::child_process Load(
      "bw-load", {"--url", Url, "--burst", std::to_string(Requests), "--header",
                  "Host: " + std::string(gateway_under_test::VirtualHost),
                  "--header", platform::relayHeaders().RequestLabel + ": r"});
  const auto End = std::chrono::steady_clock::now() + BurstLimit;
  while (Load.isRunning() && std::chrono::steady_clock::now() < End) {
    Seen.sample();
    std::this_thread::sleep_for(SampleInterval);
  }
  Seen.Result.IsComplete = Load.waitForEnd(0ms) == 0;
  std::cout << Load.output();
  return Seen.finish();
}

} // namespace

bool replay_result::isWithin(const gateway_limits &Limits) const {
  return IsAlive && IsComplete && IsAnsweredAfterwards && Answered == Asked &&
         PeakMemory <= Limits.Memory && PeakDescriptors <= Limits.Descriptors;
}

std::vector<replay_case> bw::slow_clients::replayCases() {
  const auto Request = gateway_under_test::request;
  const std::string Unread = repeat(Request("/crowd/", 1'000'000), 8);
  const std::pair<const char *, crowd_options> Crowds[] = {
      {"unread-100", {.Size = 100, .Request = Unread, .Rounds = 100}},
      {"unread-250", {.Size = 250, .Request = Unread, .Rounds = 100}},
      {"idle-4500", {.Size = 4500, .Request = "", .Rounds = 100}},
      {"slow-300",
       {.Size = 300,
        .Request = Request("/crowd/", 2'000'000),
        // 2 KB a second.
        .ReadPerRound = byte_count(200),
        .Rounds = 200}}};
  std::vector<replay_case> Result;
  for (const auto &[Name, Options] : Crowds)
    Result.push_back({Name, [Options = Options](gateway_limits Limits) {
                        return playCrowd(Limits, Options);
                      }});
  for (const std::size_t Requests : {10'000, 40'000, 100'000})
    Result.push_back({"burst-" + std::to_string(Requests),
                      [Requests](gateway_limits Limits) {
                        return playBurst(Limits, Requests);
                      }});
  return Result;
}
