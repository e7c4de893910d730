#include "bw_gateway/routes/weighted_split.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>

using namespace bw;

namespace {

const std::vector<route_destination> Uneven = {
    {.Service = service_id("old"), .Weight = 90},
    {.Service = service_id("new"), .Weight = 10}};

} // namespace

class weighted_split_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(weighted_split_test);
  CPPUNIT_TEST(keepsTheSharesWithFewRequestsOnManyHosts);
  CPPUNIT_TEST(givesNothingToAWeightOfZero);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against wrong shares when each host gets only a few requests of a
  // route: 32 hosts with 10 requests each.
  void keepsTheSharesWithFewRequestsOnManyHosts() {
    random_source Random(testSeed());
    std::map<service_id, int> Counts;
    constexpr int Hosts = 32;
    constexpr int RequestsPerHost = 10;
    for (int Host = 0; Host < Hosts; ++Host) {
      weighted_split Split(Random);
      for (int Request = 0; Request < RequestsPerHost; ++Request)
        ++Counts[Split.next(Uneven)];
    }
    const double Share =
        double(Counts[service_id("new")]) / (Hosts * RequestsPerHost);
    // The platform allows a deviation of 0.1 from the share.
    CPPUNIT_ASSERT(std::abs(Share - 0.1) < 0.05);
  }

  // Guards against requests to a service that the operators disabled.
  void givesNothingToAWeightOfZero() {
    random_source Random(testSeed());
    weighted_split Split(Random);
    const std::vector<route_destination> Destinations = {
        {.Service = service_id("off"), .Weight = 0},
        {.Service = service_id("on"), .Weight = 5}};
    for (int Request = 0; Request < 1000; ++Request)
      CPPUNIT_ASSERT(Split.next(Destinations) == service_id("on"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(weighted_split_test);
