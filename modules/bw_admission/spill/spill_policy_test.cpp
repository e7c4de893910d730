#include "bw_admission/spill/spill_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <numbers>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr double Slots = 100;
const std::array<data_centre_id, 2> Names = {data_centre_id("east"),
                                             data_centre_id("west")};

// Two data centres that decide on summaries of 300 ms ago. `Demand` is what
// each would have in flight if none of it left.
struct two_data_centres {
  std::function<double(int DataCentre, double Seconds)> Demand;
  std::array<spill_policy, 2> Policies = {};
  std::array<double, 2> InFlight = {};
  std::array<std::vector<double>, 2> Shares = {};
  std::array<double, 2> Highest = {};

  void run(double Length) {
    constexpr duration Step = 300ms;
    time_point Now(100s);
    for (double Seconds = 0; Seconds < Length; Seconds += 0.3) {
      const std::array<double, 2> Known = InFlight;
      for (std::size_t Own = 0; Own < 2; ++Own) {
        const data_centre_load Other{.Id = Names[1 - Own],
                                     .Slots = Slots,
                                     .InFlight = Known[1 - Own],
                                     .Age = Step};
        Policies[Own].update(
            {.Id = Names[Own], .Slots = Slots, .InFlight = Known[Own]},
            {&Other, 1}, false, Now);
        Shares[Own].push_back(Policies[Own].share(false));
      }
      for (std::size_t Own = 0; Own < 2; ++Own) {
        InFlight[Own] =
            Demand(int(Own), Seconds) * (1 - Policies[Own].share(false)) +
            Demand(int(1 - Own), Seconds) * Policies[1 - Own].share(false);
        if (Seconds > 5)
          Highest[Own] = std::max(Highest[Own], InFlight[Own] / Slots);
      }
      Now += Step;
    }
  }
};

/// Number of changes of direction by more than a hundredth.
int turns(const std::vector<double> &Values) {
  int Turns = 0;
  int Direction = 0;
  double Last = Values.front();
  for (const double Each : Values) {
    if (std::abs(Each - Last) < 0.01)
      continue;
    const int New = Each > Last ? 1 : -1;
    Turns += Direction != 0 && New != Direction ? 1 : 0;
    Direction = New;
    Last = Each;
  }
  return Turns;
}

} // namespace

class spill_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(spill_policy_test);
  CPPUNIT_TEST(nothingLeavesWhileThereIsRoom);
  CPPUNIT_TEST(theExcessLeaves);
  CPPUNIT_TEST(twoFullDataCentresSendEachOtherNothing);
  CPPUNIT_TEST(theShareDoesNotOscillate);
  CPPUNIT_TEST(aSwingOfDemandIsFollowed);
  CPPUNIT_TEST(withoutUsableServersAllLeaves);
  CPPUNIT_TEST(aSilentDataCentreHasNoRoom);
  CPPUNIT_TEST(downloadsLeaveLast);
  CPPUNIT_TEST(requestsGoWhereThereIsRoom);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against traffic between data centres that buys nothing.
  void nothingLeavesWhileThereIsRoom() {
    two_data_centres Both{
        .Demand = [](int Own, double) { return Own == 0 ? 79.0 : 10.0; }};
    Both.run(20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Both.Shares[0].back(), 0.001);
  }

  // Guards against a full data centre beside an empty one, and against a share
  // that ends as soon as it has helped.
  void theExcessLeaves() {
    two_data_centres Both{
        .Demand = [](int Own, double) { return Own == 0 ? 110.0 : 20.0; }};
    Both.run(20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, Both.InFlight[0] / Slots, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Both.Shares[1].back(), 0.001);
  }

  // Guards against two data centres that each take the other for a way out.
  void twoFullDataCentresSendEachOtherNothing() {
    two_data_centres Both{.Demand = [](int, double) { return 120.0; }};
    Both.run(20);
    for (const auto &Shares : Both.Shares)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Shares.back(), 0.01);
  }

  // Both are over the limit in turn with the other, on old summaries. Guards
  // against shares that swing up and down while the demand is steady.
  void theShareDoesNotOscillate() {
    for (const double Second : {20.0, 60.0, 75.0, 90.0}) {
      two_data_centres Both{
          .Demand = [=](int Own, double) { return Own == 0 ? 115.0 : Second; }};
      Both.run(60);
      CPPUNIT_ASSERT(turns(Both.Shares[0]) <= 2);
      CPPUNIT_ASSERT(turns(Both.Shares[1]) <= 2);
    }
  }

  // Demand swings by half with a period of 13 s, in opposite phase. Guards
  // against a share that follows so late that it adds to the next peak: of the
  // peak of 1.2, at least a third must be gone.
  void aSwingOfDemandIsFollowed() {
    constexpr double Period = 13;
    two_data_centres Both{.Demand = [](int Own, double Seconds) {
      const double Phase =
          2 * std::numbers::pi * Seconds / Period + Own * std::numbers::pi;
      return 80 * (1 + 0.5 * std::sin(Phase));
    }};
    Both.run(60);
    std::cout << "swing: highest utilisation " << Both.Highest[0] << ", "
              << Both.Highest[1] << "\n";
    for (const double Highest : Both.Highest)
      CPPUNIT_ASSERT(Highest < 1.07);
  }

  // Guards against a data centre that waits for servers it does not have.
  void withoutUsableServersAllLeaves() {
    spill_policy Policy;
    const data_centre_load Other{
        .Id = Names[1], .Slots = Slots, .InFlight = 95, .Age = 100ms};
    Policy.update({.Id = Names[0]}, {&Other, 1}, false, time_point(100s));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Policy.share(false), 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Policy.share(true), 0);
    CPPUNIT_ASSERT(*Policy.choose(0.5) == Names[1]);
  }

  // Guards against requests for a data centre that cannot be reached: a cut
  // makes it look idle.
  void aSilentDataCentreHasNoRoom() {
    spill_policy Policy;
    time_point Now(100s);
    for (int Step = 0; Step < 40; ++Step, Now += 300ms) {
      const data_centre_load Other{
          .Id = Names[1], .Slots = Slots, .InFlight = 0, .Age = 2s};
      Policy.update({.Id = Names[0], .Slots = Slots, .InFlight = 130},
                    {&Other, 1}, false, Now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Policy.share(false), 0.001);
    CPPUNIT_ASSERT(Policy.choose(0.5) == nullptr);
  }

  // Guards against bytes between data centres while requests can leave instead.
  void downloadsLeaveLast() {
    spill_policy Policy;
    time_point Now(100s);
    const data_centre_load Other{
        .Id = Names[1], .Slots = Slots, .InFlight = 0, .Age = 100ms};
    for (int Step = 0; Step < 40; ++Step, Now += 300ms)
      Policy.update({.Id = Names[0], .Slots = Slots, .InFlight = 95},
                    {&Other, 1}, false, Now);
    CPPUNIT_ASSERT(Policy.share(false) > 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Policy.share(true), 0.001);
  }

  // Guards against hosts that all send to the same data centre.
  void requestsGoWhereThereIsRoom() {
    spill_policy Policy;
    const std::array<data_centre_load, 2> Others = {
        data_centre_load{
            .Id = Names[0], .Slots = Slots, .InFlight = 40, .Age = 100ms},
        data_centre_load{
            .Id = Names[1], .Slots = Slots, .InFlight = 60, .Age = 100ms}};
    Policy.update({.Id = data_centre_id("own"), .Slots = Slots}, Others, false,
                  time_point(100s));
    CPPUNIT_ASSERT(*Policy.choose(0.7) == Names[0]);
    CPPUNIT_ASSERT(*Policy.choose(0.8) == Names[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spill_policy_test);
