// A short seeded run of the fault soak, as CI plays it, and every seed that
// ever failed.

#include "tests/soak/soak_run.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class soak_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(soak_test);
  CPPUNIT_TEST(aShortRunBreaksNoPromise);
  CPPUNIT_TEST(aRestoredStoreBreaksNoPromise);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against any broken promise of the platform's pages under faults that
  // overlap.
  void aShortRunBreaksNoPromise() {
    const soak::soak_options Options{.Seed = testSeed(), .Length = 8s};
    const soak::soak_result Result = soak::runSoak(Options);
    CPPUNIT_ASSERT(printResult(Options, Result));
    // A run that asks nothing checks nothing.
    CPPUNIT_ASSERT(Result.Served > 300 && Result.Faults > 0);
    CPPUNIT_ASSERT(Result.Unauthenticated > 0);
    CPPUNIT_ASSERT(Result.Allowances.Refused > 0);
    CPPUNIT_ASSERT(Result.Crowds > 0);
    CPPUNIT_ASSERT(Result.OddWrites > 0);
  }

  // The same while the store comes back from a copy, again and again.
  void aRestoredStoreBreaksNoPromise() {
    const soak::soak_options Options{
        .Seed = testSeed(), .Length = 8s, .Restores = 2};
    const soak::soak_result Result = soak::runSoak(Options);
    CPPUNIT_ASSERT(printResult(Options, Result));
    CPPUNIT_ASSERT(Result.Served > 300 && Result.Restores >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);
