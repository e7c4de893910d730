#include "bw_gateway_fleet/fleet/gateway_fleet.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

double seconds(time_point Time) {
  return std::chrono::duration<double>(Time.time_since_epoch()).count();
}

void print(const char *Name, std::uint64_t Seed, const fleet_result &Result) {
  std::cout << Name << " seed " << Seed << ": served " << Result.servedShare()
            << " of " << Result.Requests << ", arrivals per request "
            << double(Result.Attempts) / double(Result.Requests)
            << ", least use " << Result.LeastUse.Used << " of "
            << Result.LeastUse.Sound << " servers at "
            << seconds(Result.LeastUse.At) << " s\n";
  for (const fleet_violation &Each : Result.Violations)
    std::cout << "  " << ruleName(Each.Rule) << " at " << seconds(Each.At)
              << " s: " << Each.Detail << "\n";
}

} // namespace

class gateway_fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_fleet_test);
  CPPUNIT_TEST(soundServersAreUsedWhileOthersFail);
  CPPUNIT_TEST(soundServersAreUsedAtLowTraffic);
  CPPUNIT_TEST(namedLimitsAreKept);
  CPPUNIT_TEST(namedLimitsAreKeptWhileHostsRestart);
  CPPUNIT_TEST(leavingServersAreLeftAlone);
  CPPUNIT_TEST(refusingServersAreLeftAlone);
  CPPUNIT_TEST(equalServersGetEqualWork);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against sound servers that get no request because of failures that
  // have passed, while other servers fail or are slow.
  void soundServersAreUsedWhileOthersFail() {
    checkDays("drawn days", fleet_options(), fleet_rule::Floor, {11});
  }

  // The same at little more than one request a second and server.
  void soundServersAreUsedAtLowTraffic() {
    checkDays("drawn days, low traffic", smallService(), fleet_rule::Floor,
              {19, 41});
  }

  // Seven servers in ten name a limit below their usual rate. Guards against
  // hosts that each keep to a share, but together exceed the limit.
  void namedLimitsAreKept() {
    for (const double Limit : {0.3, 1.0, 2.0, 3.3})
      checkStatement("limit",
                     {.Kind = fleet_fault::kind::Limit,
                      .At = 5s,
                      .Length = 15s,
                      .Share = 0.7,
                      .Strength = Limit},
                     fleet_rule::Limit);
  }

  // The same while hosts restart and lose what they were told.
  void namedLimitsAreKeptWhileHostsRestart() {
    checkStatement("limit and restarts",
                   {.Kind = fleet_fault::kind::Limit,
                    .At = 5s,
                    .Length = 15s,
                    .Share = 0.7,
                    .Strength = 1},
                   fleet_rule::Limit,
                   fleet_fault{.Kind = fleet_fault::kind::HostRestart,
                               .At = 12s,
                               .Share = 0.3});
  }

  // Guards against requests to a server that said in an answer that it leaves,
  // while the platform's list does not say so.
  void leavingServersAreLeftAlone() {
    checkStatement("leaving",
                   {.Kind = fleet_fault::kind::Leave, .At = 5s, .Share = 0.2},
                   fleet_rule::Drain);
  }

  // Guards against requests to a server that refused one and asked for a pause.
  void refusingServersAreLeftAlone() {
    checkStatement("refusing",
                   {.Kind = fleet_fault::kind::Refuse,
                    .At = 5s,
                    .Length = 10s,
                    .Share = 0.3,
                    .Strength = 4},
                   fleet_rule::Defer);
  }

  // 100 hosts with ten requests a second each, before equal sound servers whose
  // slots are used by half or by a third. Guards against hosts that all choose
  // the server that seemed least loaded in the last report, and against probes
  // of all hosts that overload a server which was slow once; before, the
  // busiest server got 5 times the mean.
  void equalServersGetEqualWork() {
    for (const std::size_t Servers : {250U, 400U}) {
      fleet_options Options;
      Options.Deployment.Hosts = 100;
      Options.Servers = Servers;
      Options.RequestsPerSecond = 1000;
      Options.BurstyShare = 0;
      Options.HealthyFailureShare = 0;
      // So that chance alone makes a difference of at most a quarter.
      Options.Length = 64s;
      const fleet_result Result = gateway_fleet(Options, testSeed()).run();
      print("equal servers", testSeed(), Result);
      std::cout << "  " << Servers << " servers, the busiest got "
                << Result.busiestShare() << " times the mean\n";
      CPPUNIT_ASSERT(Result.busiestShare() <= 1.4);
    }
  }

private:
  static void checkStatement(const char *Name, const fleet_fault &Fault,
                             fleet_rule Rule,
                             std::optional<fleet_fault> Second = {}) {
    std::size_t Violations = 0;
    for (std::uint64_t Seed = testSeed(); Seed < testSeed() + 2; ++Seed) {
      fleet_options Options;
      Options.Faults = {Fault};
      if (Second)
        Options.Faults.push_back(*Second);
      const fleet_result Result = gateway_fleet(Options, Seed).run();
      print(Name, Seed, Result);
      Violations += Result.count(Rule);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations);
  }

  // Plays the kept days and new ones, checks the rule, and checks that the
  // sound servers were in use at all times, whatever share was served.
  static void checkDays(const char *Name, const fleet_options &Options,
                        fleet_rule Rule, std::vector<std::uint64_t> Days) {
    for (std::uint64_t Day = 0; Day < newDays(); ++Day)
      Days.push_back(testSeed() + Day);
    std::size_t Violations = 0;
    std::size_t DaysBelowFloor = 0;
    for (const std::uint64_t Day : Days) {
      gateway_fleet Fleet(withDrawnFaults(Options, Day), Day);
      const fleet_result Result = Fleet.run();
      print(Name, Day, Result);
      Violations += Result.count(Rule);
      DaysBelowFloor +=
          Result.LeastUse.share() < Options.FloorShare.value() ? 1U : 0U;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), DaysBelowFloor);
  }

  /// `BW_TEST_DAYS` asks for a long run by hand.
  static std::uint64_t newDays() {
    constexpr std::uint64_t DefaultDays = 8;
    const char *Days = std::getenv("BW_TEST_DAYS");
    return Days == nullptr ? DefaultDays : std::strtoull(Days, nullptr, 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_fleet_test);
