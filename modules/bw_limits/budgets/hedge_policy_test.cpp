#include "bw_limits/budgets/hedge_policy.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const service_id Service("insight-svc");
const request_kind Lookup("lookup");

constexpr time_point Start{100s};

struct hedge_case {
  const char *Failure;
  hedge_request Request;
  duration Age;
  bool Hedged;
};

const hedge_case HedgeCases[] = {
    {"slow read is not hedged",
     {Service, Lookup, true, false, Start},
     1s,
     true},
    {"submission that is not repeatable is hedged",
     {Service, Lookup, false, false, Start},
     1s,
     false},
    {"long request, such as an export, is hedged",
     {Service, Lookup, true, true, Start},
     1s,
     false},
    {"read is hedged before its latency is high",
     {Service, Lookup, true, false, Start},
     10ms,
     false},
    {"read is hedged just before its deadline",
     {Service, Lookup, true, false, Start, Start + 1s},
     995ms,
     false},
    {"kind without latency samples is hedged",
     {Service, request_kind("new"), true, false, Start},
     1s,
     false},
};

} // namespace

class hedge_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hedge_policy_test);
  CPPUNIT_TEST(hedgesOnlyEligibleRequests);
  CPPUNIT_TEST(sharesTheRetryBudget);
  CPPUNIT_TEST(estimatesTheQuantile);
  CPPUNIT_TEST(kindsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void hedgesOnlyEligibleRequests() {
    for (const hedge_case &Case : HedgeCases) {
      retry_budget Budget;
      hedge_policy Policy(Budget);
      recordLookups(Policy, 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Case.Failure, Case.Hedged,
          Policy.tryHedge(Case.Request, Start + Case.Age));
    }
  }

  // Guards against hedges that add to the load during an outage.
  void sharesTheRetryBudget() {
    retry_budget Budget;
    hedge_policy Policy(Budget);
    recordLookups(Policy, 200);
    int Hedged = 0;
    for (int Request = 0; Request < 1000; ++Request) {
      Budget.requestStarted();
      Hedged += Policy.tryHedge(HedgeCases[0].Request, Start + 1s) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Hedged > 0);
    CPPUNIT_ASSERT(Hedged < 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(Hedged), Budget.extraAttempts());
  }

  // Guards against hedging half of the reads, or none. Latencies are uniformly
  // distributed from 20 to 40 ms, so their 0.95 quantile is 39 ms.
  void estimatesTheQuantile() {
    retry_budget Budget;
    hedge_policy Policy(Budget);
    recordLookups(Policy, 5000);
    const duration Delay = *Policy.hedgeAt(HedgeCases[0].Request) - Start;
    CPPUNIT_ASSERT(Delay > 35ms && Delay < 43ms);
  }

  void kindsAreBounded() {
    retry_budget Budget;
    hedge_policy Policy(Budget, {.MaxKinds = 8});
    for (int Number = 0; Number < 100; ++Number)
      Policy.record(Service, request_kind(std::to_string(Number)), 1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Policy.kinds());
  }

private:
  static void recordLookups(hedge_policy &Policy, int Count) {
    random_source Random(testSeed());
    for (; Count > 0; --Count)
      Policy.record(Service, Lookup,
                    std::chrono::microseconds(20'000 + Random.below(20'000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedge_policy_test);
