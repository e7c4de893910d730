#include "bw_routing/picking/owner_health.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;
using namespace std::chrono_literals;

namespace {

struct outcome_case {
  const char *Failure;
  /// g: good, l: slow (late), r: refused, s: silent, f: failed.
  const char *Outcomes;
  bool Opened;
};

const outcome_case OutcomeCases[] = {
    {"one lost packet opens the circuit", "gggsggg", false},
    {"occasional slow answers open the circuit", "glgglgglgglg", false},
    {"owner that times out keeps getting requests", "ss", true},
    {"owner that refuses keeps getting requests", "rr", true},
    {"owner with broken connections keeps getting requests", "ff", true},
    {"owner that is always slow keeps getting requests", "llllll", true},
    {"failures of different kinds are not added up", "srg", true},
    {"every second forward is lost", "sgsgsgsgs", false},
    {"two of three forwards are lost", "ssgssgss", true},
};

constexpr owner_health_options Options;

} // namespace

class owner_health_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(owner_health_test);
  CPPUNIT_TEST(failuresOpenTheCircuit);
  CPPUNIT_TEST(openTimeGrowsAndShrinks);
  CPPUNIT_TEST(halfOpenAllowsOneRequestAtATime);
  CPPUNIT_TEST(lateOutcomesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void failuresOpenTheCircuit() {
    for (const outcome_case &Case : OutcomeCases) {
      owner_health Health;
      bool Opened = false;
      for (const char *Outcome = Case.Outcomes; *Outcome; ++Outcome) {
        report(Health, *Outcome);
        Opened = Opened || Health.isOpen(Now);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, Case.Opened, Opened);
    }
  }

  // Guards against a flapping owner that gets its full share of requests after
  // each recovery, and against an open time that never shrinks again.
  void openTimeGrowsAndShrinks() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    const duration Expected[] = {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s};
    for (const duration Span : Expected) {
      CPPUNIT_ASSERT(Health.openUntil() - Now == Span);
      Now += Span;
      CPPUNIT_ASSERT(Health.allowsRequest(Now, Options));
      report(Health, 's');
    }
    Now += 60s + 20min;
    report(Health, 's');
    CPPUNIT_ASSERT(Health.openUntil() - Now == 1s);
  }

  // Guards against a burst of requests to an owner that has not recovered.
  void halfOpenAllowsOneRequestAtATime() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    Now += 1s;
    for (int Answer = 0; Answer < 5; ++Answer) {
      CPPUNIT_ASSERT(Health.allowsRequest(Now, Options));
      Health.requestSent(Now);
      CPPUNIT_ASSERT(!Health.allowsRequest(Now, Options));
      report(Health, 'g');
    }
    Health.requestSent(Now);
    CPPUNIT_ASSERT(Health.allowsRequest(Now, Options));
  }

  // Guards against an outage that is counted many times because the requests
  // sent during it time out one after another.
  void lateOutcomesAreIgnored() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    const time_point Until = Health.openUntil();
    Health.recordOutcome(owner_outcome::TimedOut, false, Now, Until + 1s,
                         Options);
    CPPUNIT_ASSERT(Health.openUntil() == Until);
    CPPUNIT_ASSERT(Health.allowsRequest(Until + 1s, Options));
  }

private:
  void report(owner_health &Health, char Outcome) const {
    const owner_outcome Kind = Outcome == 'r'   ? owner_outcome::Refused
                               : Outcome == 's' ? owner_outcome::TimedOut
                               : Outcome == 'f' ? owner_outcome::Failed
                                                : owner_outcome::Answered;
    Health.recordOutcome(Kind, Outcome == 'l', Now, Now, Options);
  }

  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_health_test);
