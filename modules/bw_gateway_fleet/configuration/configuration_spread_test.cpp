#include "bw_gateway_fleet/configuration/configuration_spread.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

class configuration_spread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_spread_test);
  CPPUNIT_TEST(largeVersionsAreInForceWithinTheBound);
  CPPUNIT_TEST(versionsSpreadFromSmallHosts);
  CPPUNIT_TEST(versionsSpreadPastFrozenHosts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fetches of a large configuration that end before the body is
  // over, or that all go to one host. At the design size it has 4,100 routes.
  void largeVersionsAreInForceWithinTheBound() {
    for (const std::size_t Routes : {1'500, 2'900, 4'100})
      checkRuns("large version", {.Routes = Routes});
  }

  // Guards against a version that small hosts alone have at first, since the
  // store turns the aggregators away, and that does not get past their links.
  void versionsSpreadFromSmallHosts() {
    checkRuns("one data centre cut off", {.CutDataCentres = 1});
    checkRuns("small hosts alone read", {.CutDataCentres = 5});
  }

  // Guards against waiting for hosts that stopped after they announced the
  // version, and against asking them again. In the kept runs all aggregators of
  // a data centre have stopped, and some host there heard of no version.
  void versionsSpreadPastFrozenHosts() {
    checkRuns("frozen hosts", {.Routes = 2'900, .FrozenShare = 0.2},
              {13, 15, 26, 45});
  }

private:
  // The platform's bound for a change to be in force everywhere.
  static constexpr duration Bound = 2500ms;
  static constexpr std::uint64_t Runs = 5;

  static void checkRuns(const char *Name, const spread_options &Options,
                        std::vector<std::uint64_t> Seeds = {}) {
    for (std::uint64_t Run = 0; Run < Runs; ++Run)
      Seeds.push_back(testSeed() + Run);
    for (const std::uint64_t Seed : Seeds) {
      const spread_result Result = configuration_spread(Options, Seed).run();
      const duration Last = Result.LastInForce.value_or(spread_result::MaxTime);
      std::cout << Name << ", " << Options.Routes << " routes, seed " << Seed
                << ": in force after "
                << std::chrono::duration<double>(Last).count() << " s, "
                << Result.Behind << " behind, " << Result.FailedFetches
                << " of " << Result.Fetches << " fetches failed\n";
      Worst = std::max(Worst, Last);
    }
    CPPUNIT_ASSERT_MESSAGE(Name, std::exchange(Worst, duration()) <= Bound);
  }

  inline static duration Worst{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_spread_test);
