#include "bw_gateway/servers/server_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class server_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_evidence_test);
  CPPUNIT_TEST(oneFailureIsStrongEvidence);
  CPPUNIT_TEST(successesOutweighAChanceFailure);
  CPPUNIT_TEST(returnsToThePriorWithoutOutcomes);
  CPPUNIT_TEST(longHealthDoesNotHideANewFailure);
  CPPUNIT_TEST(aBurstIsOverSoonerThanAGrayFailure);
  CPPUNIT_TEST(serversWithBurstsAreRemembered);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against losing several at-most-once requests before a failing server
  // is avoided. Such servers fail most of their requests.
  void oneFailureIsStrongEvidence() {
    server_evidence Evidence;
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failingProbability(at(1s)) > 0.4);
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failingProbability(at(1s)) > 0.9);
  }

  // Guards against avoiding a healthy server because of a chance failure; about
  // one request in a hundred fails at any server.
  void successesOutweighAChanceFailure() {
    server_evidence Evidence;
    Evidence.add(0, 1, at(1s));
    Evidence.add(4, 0, at(1s));
    CPPUNIT_ASSERT(Evidence.failingProbability(at(1s)) < 0.1);
  }

  // Guards against servers that never return to use: they get no requests, so
  // no success can improve their estimate.
  void returnsToThePriorWithoutOutcomes() {
    server_evidence Evidence;
    for (int Count = 0; Count < 100; ++Count)
      Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failingProbability(at(1s)) > 0.9);
    CPPUNIT_ASSERT(Evidence.failingProbability(at(20s)) < 0.1);
  }

  // Guards against a late detection after a long time without failures.
  void longHealthDoesNotHideANewFailure() {
    server_evidence Evidence;
    for (int Count = 0; Count < 10'000; ++Count)
      Evidence.add(1, 0, at(1s));
    Evidence.add(0, 1, at(1s));
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failingProbability(at(1s)) > 0.5);
  }

  // Guards against a burst of one second that keeps a server out of use for
  // five seconds.
  void aBurstIsOverSoonerThanAGrayFailure() {
    server_evidence Burst;
    for (int Count = 0; Count < 4; ++Count)
      Burst.add(0, 1, at(1s));
    server_evidence Gray;
    for (int Count = 0; Count < 20; ++Count)
      Gray.add(0.4, 0.6, at(1s + Count * 100ms));
    CPPUNIT_ASSERT(Burst.failingProbability(at(1s)) > 0.9);
    CPPUNIT_ASSERT(Gray.failingProbability(at(3s)) > 0.9);
    CPPUNIT_ASSERT(Burst.failingProbability(at(2500ms)) <
                   Gray.failingProbability(at(4500ms)) / 2);
  }

  // Guards against choosing a server that has had bursts for a submission while
  // steady servers are free.
  void serversWithBurstsAreRemembered() {
    server_evidence Evidence;
    for (int Burst = 0; Burst < 3; ++Burst) {
      const duration Start = 1s + Burst * 9s;
      Evidence.add(0, 3, at(Start));
      for (int Count = 0; Count < 30; ++Count)
        Evidence.add(1, 0, at(Start + 1500ms + Count * 200ms));
    }
    server_evidence Steady;
    for (int Count = 0; Count < 90; ++Count)
      Steady.add(1, 0, at(1s + Count * 300ms));
    CPPUNIT_ASSERT(Evidence.failureShare(at(29s)) >
                   2 * Steady.failureShare(at(29s)));
  }

private:
  static time_point at(duration Time) { return time_point(Time); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_evidence_test);
