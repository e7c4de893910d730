#include "bw_admission/room/room_share.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// Ten hosts with four requests each at 44 slots.
const service_load NearlyFull{.Slots = 44,
                              .InFlight = 40,
                              .Own = 4,
                              .Servers = 11,
                              .Hosts = 10,
                              .ServiceTime = 100ms};

} // namespace

class room_share_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(room_share_test);
  CPPUNIT_TEST(hostsTogetherUseNoMoreThanIsFree);
  CPPUNIT_TEST(ownRequestsThatEndMayBeReplaced);
  CPPUNIT_TEST(overloadIsReducedByAllHosts);
  CPPUNIT_TEST(plentyOfRoomIsNotShared);
  CPPUNIT_TEST(silenceLeavesTheOwnLoadOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against ten hosts that all hear of the same four free slots and
  // together start more requests.
  void hostsTogetherUseNoMoreThanIsFree() {
    constexpr int Hosts = 10;
    int Started = 0;
    for (int Host = 0; Host < Hosts; ++Host) {
      room_share Share;
      Share.update(NearlyFull, 80ms, (Host + 0.5) / Hosts, Now);
      double Own = NearlyFull.Own;
      while (Share.allows(Own, 1, Now)) {
        ++Own;
        ++Started;
      }
    }
    CPPUNIT_ASSERT_EQUAL(4, Started);
  }

  // Guards against idle slots until the next report.
  void ownRequestsThatEndMayBeReplaced() {
    room_share Share;
    Share.update(NearlyFull, 80ms, 0, Now);
    CPPUNIT_ASSERT(!Share.allows(4, 1, Now));
    CPPUNIT_ASSERT(Share.allows(3, 1, Now));
  }

  // Guards against hosts that keep a service over its limit by replacing each
  // request that ends.
  void overloadIsReducedByAllHosts() {
    service_load Load = NearlyFull;
    Load.InFlight = 60;
    Load.Own = 6;
    room_share Share;
    Share.update(Load, 80ms, 0.5, Now);
    CPPUNIT_ASSERT(!Share.allows(5, 1, Now));
    CPPUNIT_ASSERT(Share.allows(3, 1, Now));
    CPPUNIT_ASSERT(Share.allows(5, 2, Now));
  }

  // Guards against requests that wait in calm, and against a host without
  // requests that would have to wait for its first share.
  void plentyOfRoomIsNotShared() {
    service_load Load = NearlyFull;
    Load.InFlight = 10;
    Load.Own = 0;
    room_share Share;
    Share.update(Load, 80ms, 0, Now);
    for (double Own = 0; Own < 20; ++Own)
      CPPUNIT_ASSERT(Share.allows(Own, 1, Now));
  }

  // Guards against a host that refuses its requests because the last report,
  // long ago, was of a full service.
  void silenceLeavesTheOwnLoadOnly() {
    room_share Share;
    CPPUNIT_ASSERT(Share.allows(100, 1, Now));
    Share.update(NearlyFull, 80ms, 0, Now);
    CPPUNIT_ASSERT(!Share.allows(4, 1, Now + 1s));
    CPPUNIT_ASSERT(Share.allows(4, 1, Now + 1500ms));
  }

private:
  const time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(room_share_test);
