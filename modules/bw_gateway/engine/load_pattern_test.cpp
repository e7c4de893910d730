// Compares the engines of all hosts under the load patterns of the two
// platforms with baselines without failure detection, in virtual time.

#include "bw_gateway/engine/load_pattern_fleet_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace bw;
using namespace bw::load_pattern;
using namespace std::chrono_literals;

namespace {

constexpr double Never = 2;
const policy LeastOfTwo{.Choice = [] { return chooseLessLoadedOfTwo; },
                        .EjectAt = Never,
                        .ProbeShare = ratio(0)};
const policy RoundRobin{
    .Choice = makeRoundRobinChoice, .EjectAt = Never, .ProbeShare = ratio(0)};

// Every third server fails 85 in 100 requests for 3 s in every 9 s, each at a
// different phase.
double failInTurns(int Server, double Seconds) {
  constexpr double Period = 9;
  constexpr double FailingFor = 3;
  const double Phase = std::fmod(Seconds + 1.7 * Server, Period);
  return Server % 3 == 0 && Phase < FailingFor ? 0.85 : 0.012;
}

// Three servers in ten fail 85 in 100 requests for 1 s in every 9 s.
double failInBursts(int Server, double Seconds) {
  constexpr double Period = 9;
  const double Phase = std::fmod(Seconds + 2.3 * Server, Period);
  return Server % 10 < 3 && Phase < 1 ? 0.85 : 0.012;
}

} // namespace

class load_pattern_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_pattern_test);
  CPPUNIT_TEST(serversThatFailInTurnsCostLittle);
  CPPUNIT_TEST(shortBurstsOfFailuresCostLittle);
  CPPUNIT_TEST(burstsOfResetsCostLittle);
  CPPUNIT_TEST(serversThatSomeHostsCannotReachCostLittle);
  CPPUNIT_TEST(slowServersAreAvoided);
  CPPUNIT_TEST(twoSlotServersAtHalfLoadQueueLittle);
  CPPUNIT_TEST(decliningServersDoNotCauseARetryStorm);
  CPPUNIT_TEST(someDecliningServersCostLittle);
  CPPUNIT_TEST(overloadKeepsAllServersAtWork);
  CPPUNIT_TEST_SUITE_END();

public:
  // A third of the servers fail 85 in 100 requests for 3 s in every 9 s. Guards
  // against losing submissions at servers that other hosts know to be failing:
  // at most half as many may be lost as without detection.
  void serversThatFailInTurnsCostLittle() {
    const fleet_pattern Pattern{.FailureShare = failInTurns};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("fail in turns", Detection);
    print("fail in turns, plain", Baseline);
    print("fail in turns, round robin", simulate(Pattern, RoundRobin));
    CPPUNIT_ASSERT(1 - Detection.servedShare() <
                   (1 - Baseline.servedShare()) / 2);
  }

  // Three servers in ten fail 85 in 100 requests for 1 s in every 9 s. Guards
  // against an estimator that takes a burst for a failure of several seconds,
  // or forgets which servers are bursty: beyond the 1.2 in 100 that fail at
  // every server, at most a third of the loss without detection is allowed.
  void shortBurstsOfFailuresCostLittle() {
    const fleet_pattern Pattern{.Servers = 40,
                                .RequestsPerSecond = 220,
                                .Length = 60s,
                                .FailureShare = failInBursts};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("bursts", Detection);
    print("bursts, plain", Baseline);
    // Submissions are three quarters of the requests and are not retried.
    constexpr double Everywhere = 0.012 * 0.75;
    CPPUNIT_ASSERT(1 - Detection.servedShare() - Everywhere <
                   (1 - Baseline.servedShare() - Everywhere) / 3);
  }

  // The same with servers that reset the connection. Guards against hosts that
  // each find out for themselves, because a broken attempt counts for little as
  // an outcome that hosts share: beyond what fails at every server, at most
  // half as much again may be lost as with errors.
  void burstsOfResetsCostLittle() {
    constexpr std::uint64_t Runs = 4;
    constexpr double Everywhere = 0.012 * 0.75;
    double Errors = 0;
    double Resets = 0;
    for (std::uint64_t Run = 0; Run < Runs; ++Run)
      for (const bool FailsByReset : {false, true}) {
        const fleet_result Result = simulate({.Seed = testSeed() + Run,
                                              .Servers = 40,
                                              .RequestsPerSecond = 220,
                                              .Length = 60s,
                                              .FailureShare = failInBursts,
                                              .FailsByReset = FailsByReset},
                                             Detecting);
        print(FailsByReset ? "bursts of resets" : "bursts of errors", Result);
        (FailsByReset ? Resets : Errors) +=
            1 - Result.servedShare() - Everywhere;
      }
    CPPUNIT_ASSERT(Resets < 1.5 * Errors);
  }

  // A quarter of the servers are cut off from one host in five for 8 s in every
  // 12 s. Guards against hosts that avoid sound servers because others cannot
  // reach them: requests must be in time as often as without detection, and at
  // most half as many may be lost.
  void serversThatSomeHostsCannotReachCostLittle() {
    const fleet_pattern Pattern{
        .RequestsPerSecond = 200,
        .IsCut = [](int Host, int Server, double Seconds) {
          return Host % 5 == 0 && Server % 4 == 0 &&
                 std::fmod(Seconds, 12.0) < 8;
        }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("cut off from some hosts", Detection);
    print("cut off from some hosts, plain", Baseline);
    constexpr double Everywhere = 0.012 * 0.75;
    CPPUNIT_ASSERT(1 - Detection.servedShare() - Everywhere <
                   (1 - Baseline.servedShare() - Everywhere) / 2);
    CPPUNIT_ASSERT(Detection.inTargetShare() >= Baseline.inTargetShare());
  }

  // One server in seven takes eight times as long. Guards against requests that
  // wait there while other servers are free.
  void slowServersAreAvoided() {
    const fleet_pattern Pattern{
        .Slowness = [](int Server, double) { return Server % 7 ? 1.0 : 8.0; }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("slow servers", Detection);
    print("slow servers, plain", Baseline);
    CPPUNIT_ASSERT(1 - Detection.inTargetShare() <
                   (1 - Baseline.inTargetShare()) / 2);
  }

  // Each server has two slots, half of which are busy on average. Guards
  // against hosts that choose the same server at the same time.
  void twoSlotServersAtHalfLoadQueueLittle() {
    const fleet_pattern Pattern{
        .Slots = 2, .RequestsPerSecond = 72, .WorkSeconds = 0.29};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("two slots", Detection);
    CPPUNIT_ASSERT(Detection.inTargetShare() > 0.97);
  }

  // All servers decline 55 in 100 requests. Guards against a retry storm: the
  // platform allows a fifth more attempts than requests, plus the slack of 56.
  void decliningServersDoNotCauseARetryStorm() {
    const fleet_pattern Pattern{
        .DeclineShare = [](int, double) { return 0.55; }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("all shed", Detection);
    CPPUNIT_ASSERT(Detection.Attempts <= Detection.Asked * 1.2 + 56);
    CPPUNIT_ASSERT(Detection.servedShare() > 0.45);
  }

  // One server in seven declines 40 in 100 requests. Guards against losing more
  // than the few requests that a second server declines too.
  void someDecliningServersCostLittle() {
    const fleet_pattern Pattern{.DeclineShare = [](int Server, double) {
      return Server % 7 ? 0.0 : 0.4;
    }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("some shed", Detection);
    CPPUNIT_ASSERT(Detection.inTargetShare() > 0.96);
    CPPUNIT_ASSERT(Detection.Attempts <= Detection.Asked * 1.1);
  }

  // The load exceeds the capacity of the slots by a tenth. Guards against
  // ejections that reduce capacity when all servers are slow.
  void overloadKeepsAllServersAtWork() {
    const fleet_pattern Pattern{.RequestsPerSecond = 290, .Length = 20s};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("overload", Detection);
    print("overload, plain", Baseline);
    CPPUNIT_ASSERT(Detection.servedShare() > 0.95 * Baseline.servedShare());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_pattern_test);
