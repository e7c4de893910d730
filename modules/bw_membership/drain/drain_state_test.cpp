#include "bw_membership/drain/drain_state.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class drain_state_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(drain_state_test);
  CPPUNIT_TEST(finishesWorkInFlight);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a planned stop that aborts a long export, accepts new work,
  // or ends before other hosts know of it.
  void finishesWorkInFlight() {
    drain_state State;
    CPPUNIT_ASSERT(State.startWork());
    CPPUNIT_ASSERT(State.beginStop(time_point(10s)));
    CPPUNIT_ASSERT(!State.beginStop(time_point(11s)));
    CPPUNIT_ASSERT(!State.startWork());
    CPPUNIT_ASSERT(State.phase(time_point(2h)) == drain_phase::Draining);
    State.workFinished();
    CPPUNIT_ASSERT(State.phase(time_point(2h)) == drain_phase::Drained);
    CPPUNIT_ASSERT(State.phase(time_point(11s)) == drain_phase::Draining);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_state_test);
