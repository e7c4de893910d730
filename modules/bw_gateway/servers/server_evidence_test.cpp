#include "bw_gateway/servers/server_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class server_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_evidence_test);
  CPPUNIT_TEST(oneFailureIsStrongEvidence);
  CPPUNIT_TEST(successesOutweighAChanceFailure);
  CPPUNIT_TEST(returnsToTheUsualWithoutOutcomes);
  CPPUNIT_TEST(longHealthDoesNotHideANewFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against losing several requests that must not repeat before a
  // failing server is avoided: such servers fail most requests.
  void oneFailureIsStrongEvidence() {
    server_evidence Evidence;
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failing(at(1s)) > 0.4);
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failing(at(1s)) > 0.9);
  }

  // Guards against passing over a well server because one request in a hundred
  // fails anyway.
  void successesOutweighAChanceFailure() {
    server_evidence Evidence;
    Evidence.add(0, 1, at(1s));
    Evidence.add(4, 0, at(1s));
    CPPUNIT_ASSERT(Evidence.failing(at(1s)) < 0.1);
  }

  // Guards against servers that never come back into use: nothing is sent
  // there, so no success can clear them.
  void returnsToTheUsualWithoutOutcomes() {
    server_evidence Evidence;
    for (int Count = 0; Count < 100; ++Count)
      Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failing(at(1s)) > 0.9);
    CPPUNIT_ASSERT(Evidence.failing(at(20s)) < 0.1);
  }

  // Guards against a filter so sure of a server's health that its failure is
  // seen late.
  void longHealthDoesNotHideANewFailure() {
    server_evidence Evidence;
    for (int Count = 0; Count < 10'000; ++Count)
      Evidence.add(1, 0, at(1s));
    Evidence.add(0, 1, at(1s));
    Evidence.add(0, 1, at(1s));
    CPPUNIT_ASSERT(Evidence.failing(at(1s)) > 0.5);
  }

private:
  static time_point at(duration Time) { return time_point(Time); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_evidence_test);
