// Tests which hosts are asked whether the configuration is current.

#include "bw_gateway/hosts/host_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// Five data centres of four hosts. Those of `a` rank first, and in each the
// hosts rank in the order of their numbers.
std::vector<gateway_host> allHosts() {
  std::vector<gateway_host> Result;
  for (const char DataCentre : {'a', 'b', 'c', 'd', 'e'})
    for (int Number = 1; Number <= 4; ++Number)
      Result.push_back(
          {.Host = host_id(DataCentre + std::to_string(Number)),
           .DataCentre = data_centre_id(std::string(1, DataCentre))});
  return Result;
}

} // namespace

class verifiers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(verifiers_test);
  CPPUNIT_TEST(aHostAsksItsAggregators);
  CPPUNIT_TEST(anAggregatorAsksThoseThatFollowTheStore);
  CPPUNIT_TEST(silentHostsAreNotAsked);
  CPPUNIT_TEST_SUITE_END();

public:
  void aHostAsksItsAggregators() {
    CPPUNIT_ASSERT(verifiers("d3") == (names{"d1", "d2"}));
    CPPUNIT_ASSERT(verifiers("a4") == (names{"a1", "a2"}));
  }

  // Guards against aggregators that ask each other in vain, and against a
  // follower that asks itself.
  void anAggregatorAsksThoseThatFollowTheStore() {
    CPPUNIT_ASSERT(verifiers("d1") == (names{"a1", "a2", "b1", "c1"}));
    CPPUNIT_ASSERT(verifiers("d2") == (names{"a1", "a2", "b1", "c1"}));
    CPPUNIT_ASSERT(verifiers("a1") == (names{"a2", "b1", "c1"}));
    CPPUNIT_ASSERT(verifiers("b1") == (names{"a1", "a2", "c1"}));
    CPPUNIT_ASSERT(verifiers("b2") == (names{"a1", "a2", "b1", "c1"}));
  }

  void silentHostsAreNotAsked() {
    CPPUNIT_ASSERT(verifiers("d1", {"a1", "c1"}) ==
                   (names{"a2", "a3", "b1", "c2"}));
    CPPUNIT_ASSERT(verifiers("d4", {"d1"}) == (names{"d2", "d3"}));
    const names Others = {"a1", "a2", "a3", "a4"};
    CPPUNIT_ASSERT(verifiers("b1", Others) == (names{"b2", "c1", "d1"}));
  }

private:
  using names = std::set<std::string>;

  static names verifiers(const std::string &Self, const names &Silent = {}) {
    const time_point Now(100s);
    host_directory_options Options;
    for (const gateway_host &Each : allHosts())
      if (Each.Host == host_id(Self))
        Options.Self = Each;
    host_directory Directory(Options);
    Directory.setListedHosts(allHosts(), Now);
    for (const gateway_host &Each : allHosts())
      if (!Silent.contains(Each.Host.value()))
        Directory.recordReport(Each.Host, {}, Now);
    names Result;
    for (const gateway_host &Each : Directory.verifiers(Now))
      Result.insert(Each.Host.value());
    return Result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(verifiers_test);
