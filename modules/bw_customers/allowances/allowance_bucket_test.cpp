#include "bw_core/random/random_source.h"
#include "bw_customers/allowances/allowance_bucket.h"
#include "bw_customers/allowances/demand_meter.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

allowance_share share(double Rate, double Depth) {
  return {.Rate = request_rate(Rate), .Depth = Depth};
}

} // namespace

class allowance_bucket_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(allowance_bucket_test);
  CPPUNIT_TEST(admitsTheBurstAndThenTheRate);
  CPPUNIT_TEST(aChangeAddsNoTokens);
  CPPUNIT_TEST(manySmallBucketsAdmitTheirSum);
  CPPUNIT_TEST(aReturnedTokenIsUsedOnce);
  CPPUNIT_TEST(tellsTheTimeOfTheNextToken);
  CPPUNIT_TEST(measuresDemandInASecond);
  CPPUNIT_TEST(remembersSparseRequestsLonger);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against more tokens than the rate gives.
  void admitsTheBurstAndThenTheRate() {
    allowance_bucket Bucket(share(10, 5), 0.5, Now);
    CPPUNIT_ASSERT_EQUAL(5, takeAll(Bucket, 100));
    int Admitted = 0;
    for (int Step = 0; Step < 100; ++Step) {
      Now += 20ms;
      Admitted += takeAll(Bucket, 3);
    }
    CPPUNIT_ASSERT(Admitted >= 19 && Admitted <= 21);
  }

  // Guards against a new burst with each new total.
  void aChangeAddsNoTokens() {
    allowance_bucket Bucket(share(10, 5), 1, Now);
    CPPUNIT_ASSERT_EQUAL(5, takeAll(Bucket, 100));
    for (int Step = 0; Step < 10; ++Step) {
      Bucket.setShare(share(10, Step % 2 == 0 ? 50 : 1), Now);
      CPPUNIT_ASSERT_EQUAL(0, takeAll(Bucket, 10));
    }
    Bucket.setShare(share(10, 50), Now);
    Now += 5s;
    Bucket.setShare(share(10, 2), Now);
    CPPUNIT_ASSERT_EQUAL(2, takeAll(Bucket, 10));
  }

  // Guards against one whole token at each host, and against shares below a
  // token that admit nothing.
  void manySmallBucketsAdmitTheirSum() {
    random_source Random(testSeed());
    int Admitted = 0;
    for (int Host = 0; Host < 1000; ++Host) {
      allowance_bucket Bucket(share(0.02, 0.05), 1 - Random.unit(), Now);
      // A refused caller that tries again gets no second chance.
      Admitted += takeAll(Bucket, 20);
    }
    // 50 on average, with a standard deviation below 7.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Admitted),
                           Admitted >= 22 && Admitted <= 78);
    allowance_bucket Bucket(share(0.5, 0.1), 1 - Random.unit(), Now);
    Admitted = 0;
    for (int Step = 0; Step < 2000; ++Step) {
      Now += 100ms;
      Admitted += takeAll(Bucket, 1);
    }
    CPPUNIT_ASSERT(Admitted >= 99 && Admitted <= 101);
  }

  // Guards against a customer that pays for requests which did not run, and
  // against tokens beyond the depth.
  void aReturnedTokenIsUsedOnce() {
    for (const double Depth : {0.5, 1.0, 4.0}) {
      allowance_bucket Bucket(share(0, Depth), 0.5, Now);
      takeAll(Bucket, 10);
      Bucket.giveBack(Now);
      CPPUNIT_ASSERT_EQUAL(1, takeAll(Bucket, 10));
      for (int Count = 0; Count < 100; ++Count)
        Bucket.giveBack(Now);
      CPPUNIT_ASSERT(takeAll(Bucket, 10) <= 1 + static_cast<int>(Depth));
    }
  }

  // Guards against callers that are told to come back before they are admitted.
  void tellsTheTimeOfTheNextToken() {
    allowance_bucket Bucket(share(4, 1), 1, Now);
    CPPUNIT_ASSERT(Bucket.untilNext(Now) == duration::zero());
    CPPUNIT_ASSERT(Bucket.tryTake(Now));
    CPPUNIT_ASSERT(!Bucket.tryTake(Now));
    CPPUNIT_ASSERT(Bucket.untilNext(Now) == duration(250ms));
    Now += 251ms;
    CPPUNIT_ASSERT(Bucket.tryTake(Now));
    Bucket.setShare(share(0, 1), Now);
    CPPUNIT_ASSERT(!Bucket.untilNext(Now));
  }

  // Guards against shares that follow demand late or not at all.
  void measuresDemandInASecond() {
    demand_meter Meter;
    for (int Step = 0; Step < 200; ++Step) {
      Meter.count(Now);
      Now += 10ms;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Meter.rate(Now).value(), 20);
    CPPUNIT_ASSERT(Meter.rate(Now + 1100ms) == request_rate(0));
    Now += 600ms;
    for (int Step = 0; Step < 50; ++Step) {
      Meter.count(Now);
      Now += 10ms;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Meter.rate(Now).value(), 20);
  }

  // Guards against hosts that lose their share between two requests.
  void remembersSparseRequestsLonger() {
    demand_meter Meter;
    for (int Step = 0; Step < 5; ++Step) {
      Meter.count(Now);
      Now += 2s;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, Meter.rate(Now).value(), 0.11);
    CPPUNIT_ASSERT(Meter.rate(Now + 5s) == request_rate(0));
  }

private:
  int takeAll(allowance_bucket &Bucket, int Requests) {
    int Admitted = 0;
    for (int Count = 0; Count < Requests; ++Count)
      Admitted += Bucket.tryTake(Now) ? 1 : 0;
    return Admitted;
  }

  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_bucket_test);
