#include "bw_gateway_daemon/stop/stop_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class stop_schedule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stop_schedule_test);
  CPPUNIT_TEST(cutsOnlyInTheLastSixthOfTheGracePeriod);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against cutting work early when the grace period is short, and
  // against a process that is killed before its last answers are written.
  void cutsOnlyInTheLastSixthOfTheGracePeriod() {
    for (const duration Grace :
         {0ms, 500ms, 1000ms, 2000ms, 3000ms, 6000ms, 10'000ms, 60'000ms}) {
      const stop_schedule Schedule = planStop(Grace);
      CPPUNIT_ASSERT(Schedule.FinishWithin >= Grace - Grace / 6);
      CPPUNIT_ASSERT(Schedule.FinishWithin <= Schedule.EndWithin);
      CPPUNIT_ASSERT(Schedule.EndWithin <= Grace);
    }
    CPPUNIT_ASSERT(planStop(6s).FinishWithin == 5500ms);
    CPPUNIT_ASSERT(planStop(6s).EndWithin == 5600ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_schedule_test);
