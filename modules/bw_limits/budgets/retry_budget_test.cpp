#include "bw_limits/budgets/retry_budget.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace bw;

namespace {

/// Returns the probability that an attempt of the request fails.
using failure_rate = std::function<double(int Request)>;

struct load_case {
  const char *Failure;
  /// Requests before those whose attempts are counted.
  int WarmUpRequests;
  int Requests;
  /// Number of requests that start before the first of them ends.
  int Burst;
  failure_rate Rate;
};

const load_case LoadCases[] = {
    {"retries multiply a full outage", 0, 5000, 1, [](int) { return 1.0; }},
    {"accumulated tokens are all used in an outage", 5000, 300, 1,
     [](int) { return 1.0; }},
    {"a burst of failures causes a burst of retries", 5000, 1000, 500,
     [](int) { return 1.0; }},
    {"flapping refills the budget faster than it drains", 1000, 5000, 1,
     [](int Request) { return Request / 50 % 2 == 0 ? 1.0 : 0.0; }},
    {"flapping in short periods refills the budget", 1000, 5000, 10,
     [](int Request) { return Request / 7 % 2 == 0 ? 1.0 : 0.0; }},
    {"half of the servers are down", 1000, 5000, 20, [](int) { return 0.5; }},
};

} // namespace

class retry_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_budget_test);
  CPPUNIT_TEST(attemptsStayUnderTheBound);
  CPPUNIT_TEST(fewFailuresAreAllRetried);
  CPPUNIT_TEST(everyPeriodStaysUnderItsBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Random = random_source(testSeed()); }

  // Guards against retries that turn an outage into an overload: the number of
  // attempts stays below 1.1 times the requests.
  void attemptsStayUnderTheBound() {
    for (const load_case &Case : LoadCases) {
      retry_budget Budget;
      for (int Request = 0; Request < Case.WarmUpRequests; ++Request)
        Budget.requestStarted();
      const std::uint64_t Extra = Budget.extraAttempts();
      for (int Request = 0; Request < Case.Requests; Request += Case.Burst)
        runBurst(Budget, Case, Request);
      const double Ratio =
          1 +
          static_cast<double>(Budget.extraAttempts() - Extra) / Case.Requests;
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Ratio < 1.1);
    }
  }

  // Guards against a budget that is too small to retry the failures of normal
  // operation, here 2 of 100 requests, so that callers see them.
  void fewFailuresAreAllRetried() {
    retry_budget Budget;
    int Unserved = 0;
    for (int Request = 0; Request < 20'000; ++Request) {
      Budget.requestStarted();
      if (Random.chance(0.02) && !Budget.tryTake())
        ++Unserved;
    }
    CPPUNIT_ASSERT(Unserved <= 5);
  }

  // Guards against rounding errors and dependence on the order of calls: in no
  // period do the extra attempts exceed the capacity plus `TokensPerRequest`
  // times the requests.
  void everyPeriodStaysUnderItsBound() {
    retry_budget Budget;
    double MaxExcess = 0;
    double MinExcess = 0;
    for (int Step = 0; Step < 100'000; ++Step) {
      if (Random.chance(0.3))
        Budget.requestStarted();
      else if (Budget.tryTake() && Random.chance(0.5))
        Budget.extraAttemptFailed();
      const double Excess = static_cast<double>(Budget.extraAttempts()) -
                            0.08 * static_cast<double>(Budget.requests());
      MinExcess = std::min(MinExcess, Excess);
      MaxExcess = std::max(MaxExcess, Excess - MinExcess);
    }
    CPPUNIT_ASSERT(MaxExcess <= 10 + 1e-6);
  }

private:
  void runBurst(retry_budget &Budget, const load_case &Case, int First) {
    for (int Request = First; Request < First + Case.Burst; ++Request)
      Budget.requestStarted();
    for (int Request = First; Request < First + Case.Burst; ++Request) {
      const double Rate = Case.Rate(Request);
      if (!Random.chance(Rate))
        continue;
      while (Budget.tryTake()) {
        if (!Random.chance(Rate))
          break;
        Budget.extraAttemptFailed();
      }
    }
  }

  random_source Random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);
