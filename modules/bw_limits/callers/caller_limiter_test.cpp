#include "bw_limits/callers/caller_limiter.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;
using namespace std::chrono_literals;

namespace {

caller_id callerName(int Number) {
  return caller_id("caller-" + std::to_string(Number));
}

caller_limiter limiterOf(double Rate, double Burst) {
  return caller_limiter({.LimitOf = [=](const caller_id &) {
    return caller_limit{.RequestsPerSecond = Rate, .Burst = Burst};
  }});
}

} // namespace

class caller_limiter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_limiter_test);
  CPPUNIT_TEST(burstThenRate);
  CPPUNIT_TEST(retryAfterIsExact);
  CPPUNIT_TEST(idleTimeAccruesAtMostTheBurst);
  CPPUNIT_TEST(callersDoNotShareALimit);
  CPPUNIT_TEST(tracksCallersOfTheDesignSize);
  CPPUNIT_TEST(callerWithoutRateIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against exceeding the rate over a long period.
  void burstThenRate() {
    random_source Random(testSeed());
    caller_limiter Limiter = limiterOf(10, 5);
    int Allowed = 0;
    const time_point Start = Now;
    for (int Count = 0; Count < 5000; ++Count) {
      Allowed += Limiter.offer(callerName(1), Now).Allowed ? 1 : 0;
      Now += std::chrono::milliseconds(Random.below(20));
    }
    const double Seconds = std::chrono::duration<double>(Now - Start).count();
    CPPUNIT_ASSERT(Allowed <= 10 * Seconds + 5 + 1);
    CPPUNIT_ASSERT(Allowed >= 10 * Seconds - 1);
  }

  // Guards against a retry delay that is too short or longer than needed.
  void retryAfterIsExact() {
    caller_limiter Limiter = limiterOf(10, 1);
    CPPUNIT_ASSERT(Limiter.offer(callerName(1), Now).Allowed);
    const rate_limit_result Refused = Limiter.offer(callerName(1), Now);
    CPPUNIT_ASSERT(!Refused.Allowed);
    CPPUNIT_ASSERT(
        !Limiter.offer(callerName(1), Now + Refused.RetryAfter - 1ns).Allowed);
    CPPUNIT_ASSERT(
        Limiter.offer(callerName(1), Now + Refused.RetryAfter).Allowed);
  }

  // Guards against a flood of requests from a caller that was idle for a long
  // time.
  void idleTimeAccruesAtMostTheBurst() {
    caller_limiter Limiter = limiterOf(10, 5);
    Limiter.offer(callerName(1), Now);
    Now += 1h;
    int Allowed = 0;
    for (int Count = 0; Count < 100; ++Count)
      Allowed += Limiter.offer(callerName(1), Now).Allowed ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(5, Allowed);
  }

  void callersDoNotShareALimit() {
    caller_limiter Limiter = limiterOf(1, 1);
    for (int Number = 0; Number < 100; ++Number)
      CPPUNIT_ASSERT(Limiter.offer(callerName(Number), Now).Allowed);
  }

  // Guards against callers that regain their burst because their state was
  // evicted: all 23,000 callers use up their burst, and nearly all of their
  // next requests must be refused.
  void tracksCallersOfTheDesignSize() {
    caller_limiter Limiter = limiterOf(1, 1);
    int Evicted = 0;
    for (int Number = 0; Number < 23'000; ++Number)
      Limiter.offer(callerName(Number), Now);
    for (int Number = 0; Number < 23'000; ++Number)
      Evicted += Limiter.offer(callerName(Number), Now).Allowed ? 1 : 0;
    CPPUNIT_ASSERT(Evicted <= 230);
    CPPUNIT_ASSERT_EQUAL(std::size_t(65'536), Limiter.capacity());
  }

  void callerWithoutRateIsRefused() {
    caller_limiter Limiter = limiterOf(0, 5);
    CPPUNIT_ASSERT(!Limiter.offer(callerName(1), Now).Allowed);
  }

private:
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_limiter_test);
