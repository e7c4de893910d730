#include "bw_routing/picking/owner_health.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;
using namespace std::chrono_literals;

namespace {

struct evidence_case {
  const char *Failure;
  /// g: good, l: slow (late), r: refused, s: silent, f: failed.
  const char *Outcomes;
  bool PassedOver;
};

const evidence_case EvidenceCases[] = {
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
  CPPUNIT_TEST(evidenceDecides);
  CPPUNIT_TEST(passOverGrowsAndIsForgiven);
  CPPUNIT_TEST(trialTakesOneRequestAtATime);
  CPPUNIT_TEST(lateNewsIsNoNewEvidence);
  CPPUNIT_TEST_SUITE_END();

public:
  void evidenceDecides() {
    for (const evidence_case &Case : EvidenceCases) {
      owner_health Health;
      bool PassedOver = false;
      for (const char *Outcome = Case.Outcomes; *Outcome; ++Outcome) {
        report(Health, *Outcome);
        PassedOver = PassedOver || Health.passedOver(Now);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, Case.PassedOver, PassedOver);
    }
  }

  // Guards against a flapping owner that gets its full share of requests after
  // each recovery, and against an open time that never shrinks again.
  void passOverGrowsAndIsForgiven() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    const duration Expected[] = {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s};
    for (const duration Span : Expected) {
      CPPUNIT_ASSERT(Health.passedOverUntil() - Now == Span);
      Now += Span;
      CPPUNIT_ASSERT(Health.usable(Now, Options));
      report(Health, 's');
    }
    Now += 60s + 20min;
    report(Health, 's');
    CPPUNIT_ASSERT(Health.passedOverUntil() - Now == 1s);
  }

  // Guards against a burst of requests to an owner that has not recovered.
  void trialTakesOneRequestAtATime() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    Now += 1s;
    for (int Answer = 0; Answer < 5; ++Answer) {
      CPPUNIT_ASSERT(Health.usable(Now, Options));
      Health.sent(Now);
      CPPUNIT_ASSERT(!Health.usable(Now, Options));
      report(Health, 'g');
    }
    Health.sent(Now);
    CPPUNIT_ASSERT(Health.usable(Now, Options));
  }

  // Guards against an outage that is counted many times because the requests
  // sent during it time out one after another.
  void lateNewsIsNoNewEvidence() {
    owner_health Health;
    report(Health, 's');
    report(Health, 's');
    const time_point Until = Health.passedOverUntil();
    Health.outcome(owner_outcome::Silent, false, Now, Until + 1s, Options);
    CPPUNIT_ASSERT(Health.passedOverUntil() == Until);
    CPPUNIT_ASSERT(Health.usable(Until + 1s, Options));
  }

private:
  void report(owner_health &Health, char Outcome) const {
    const owner_outcome Kind = Outcome == 'r'   ? owner_outcome::Refused
                               : Outcome == 's' ? owner_outcome::Silent
                               : Outcome == 'f' ? owner_outcome::Failed
                                                : owner_outcome::Answered;
    Health.outcome(Kind, Outcome == 'l', Now, Now, Options);
  }

  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_health_test);
