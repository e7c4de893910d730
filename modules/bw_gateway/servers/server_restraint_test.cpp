#include "bw_gateway/servers/server_restraint.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class server_restraint_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_restraint_test);
  CPPUNIT_TEST(aShareAllowsOneRequestAtATime);
  CPPUNIT_TEST(aLimitEndsWithALaterAnswerWithoutIt);
  CPPUNIT_TEST(anOutdatedReportDoesNotEndALimit);
  CPPUNIT_TEST(aLimitThatNobodyReportsEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against tokens that are saved up while there is no traffic, and
  // spent by all hosts at once.
  void aShareAllowsOneRequestAtATime() {
    server_restraint Restraint;
    CPPUNIT_ASSERT(Restraint.nextRequest(Now) == Now);
    Restraint.apply({.RequestLimit = 2}, Now, Now);
    CPPUNIT_ASSERT(Restraint.nextRequest(Now) == time_point::max());
    Restraint.setRate(0.5, Now);
    CPPUNIT_ASSERT(Restraint.nextRequest(Now) == Now + 2s);
    Now += 1min - 1s;
    CPPUNIT_ASSERT(Restraint.nextRequest(Now) == Now);
    Restraint.take(Now);
    CPPUNIT_ASSERT(Restraint.nextRequest(Now) == Now + 2s);
  }

  // Guards against an answer that was sent before the limit was named and
  // arrives after it.
  void aLimitEndsWithALaterAnswerWithoutIt() {
    server_restraint Restraint;
    CPPUNIT_ASSERT(Restraint.apply({.RequestLimit = 2}, Now - 1s, Now));
    CPPUNIT_ASSERT(!Restraint.apply({}, Now - 500ms, Now + 100ms));
    CPPUNIT_ASSERT(Restraint.limit(Now + 100ms) == 2);
    CPPUNIT_ASSERT(Restraint.apply({}, Now + 200ms, Now + 500ms));
    CPPUNIT_ASSERT(!Restraint.limit(Now + 500ms));
  }

  void anOutdatedReportDoesNotEndALimit() {
    server_restraint Restraint;
    Restraint.apply({.RequestLimit = 2}, Now, Now);
    CPPUNIT_ASSERT(!Restraint.applyReported({}, Now + 300ms));
    CPPUNIT_ASSERT(Restraint.applyReported({}, Now + 2s));
  }

  // Guards against a server that gets no request any more, since no host learns
  // that its limit has ended.
  void aLimitThatNobodyReportsEnds() {
    server_restraint Restraint;
    Restraint.applyReported({.RequestLimit = 2}, Now);
    CPPUNIT_ASSERT(Restraint.nextRequest(Now + 59s) == time_point::max());
    CPPUNIT_ASSERT(Restraint.nextRequest(Now + 61s) == Now + 61s);
  }

private:
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_restraint_test);
