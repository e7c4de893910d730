#include "bw_limits/slots/fair_queue.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace bw;

namespace {

slot_request requestOf(std::uint64_t Number, const std::string &Caller,
                       bool Long = false) {
  return {.Attempt = {.Request = {.Sequence = sequence_number(Number)}},
          .Caller = caller_id(Caller),
          .Long = Long};
}

} // namespace

class fair_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fair_queue_test);
  CPPUNIT_TEST(floodDoesNotTakeTheSharesOfOthers);
  CPPUNIT_TEST(longRequestsCostMore);
  CPPUNIT_TEST(keepsTheOrderOfACaller);
  CPPUNIT_TEST(cancellationKeepsTheTurnsOfOthers);
  CPPUNIT_TEST(saltSeparatesCollidingCallers);
  CPPUNIT_TEST(memoryIsBoundedByTheCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one caller that floods the queue and delays all others:
  // callers that always have a request waiting get equal shares.
  void floodDoesNotTakeTheSharesOfOthers() {
    random_source Random(testSeed());
    fair_queue Queue({.Capacity = 64});
    std::map<std::string, int> Served;
    const std::string Callers[] = {"flooder", "b", "c", "d"};
    for (int Round = 0; Round < 4000; ++Round) {
      offer(Queue, "flooder", 1 + static_cast<int>(Random.below(20)));
      for (const std::string &Caller : Callers)
        offer(Queue, Caller, 1 + static_cast<int>(Random.below(2)));
      ++Served[Queue.pop(true)->Caller.value()];
    }
    for (const std::string &Caller : Callers)
      CPPUNIT_ASSERT_MESSAGE(Caller,
                             Served[Caller] >= 980 && Served[Caller] <= 1020);
  }

  // Guards against a caller of exports that gets several times the service time
  // of a caller of look-ups. A long request costs as much as four short ones.
  void longRequestsCostMore() {
    fair_queue Queue({.Capacity = 200});
    for (std::uint64_t Number = 0; Number < 100; ++Number) {
      push(Queue, requestOf(Number * 2, "exporter", true));
      push(Queue, requestOf(Number * 2 + 1, "reader"));
    }
    int Long = 0;
    for (int Count = 0; Count < 100; ++Count)
      Long += Queue.pop(true)->Long ? 1 : 0;
    CPPUNIT_ASSERT(Long >= 18 && Long <= 22);
    for (int Count = 0; Count < 20; ++Count)
      CPPUNIT_ASSERT(!Queue.pop(false)->Long);
    CPPUNIT_ASSERT(!Queue.pop(false).has_value());
  }

  void keepsTheOrderOfACaller() {
    fair_queue Queue({});
    for (std::uint64_t Number = 1; Number <= 20; ++Number)
      push(Queue, requestOf(Number, "a"));
    for (std::uint64_t Number = 1; Number <= 20; ++Number)
      CPPUNIT_ASSERT_EQUAL(Number,
                           Queue.pop(true)->Attempt.Request.Sequence.value());
  }

  // Guards against skipping a caller's turn when the last request of another
  // caller is cancelled.
  void cancellationKeepsTheTurnsOfOthers() {
    fair_queue Queue({});
    const char *const Callers[] = {"a", "b", "c", "a", "b", "c", "a", "c"};
    for (const char *Caller : Callers)
      push(Queue, requestOf(Next++, Caller));
    std::string Served;
    for (int Count = 0; Count < 3; ++Count)
      Served += Queue.pop(true)->Caller.value();
    CPPUNIT_ASSERT(Queue.remove(requestOf(5, "b").Attempt));
    while (const auto Request = Queue.pop(true))
      Served += Request->Caller.value();
    CPPUNIT_ASSERT_EQUAL(std::string("abcacac"), Served);
  }

  // Guards against two callers whose hashes collide at every instance.
  void saltSeparatesCollidingCallers() {
    const fair_queue First({.Salt = 1});
    const fair_queue Second({.Salt = 2});
    int Collisions = 0;
    int Repeated = 0;
    const caller_id Victim("victim");
    for (int Number = 0; Number < 23'000; ++Number) {
      const caller_id Other("caller-" + std::to_string(Number));
      if (First.bucketOf(Other) != First.bucketOf(Victim))
        continue;
      ++Collisions;
      Repeated += Second.bucketOf(Other) == Second.bucketOf(Victim) ? 1 : 0;
    }
    // With 23,000 callers in 1,024 buckets, 22 share a bucket on average.
    CPPUNIT_ASSERT(Collisions > 2 && Collisions < 60);
    CPPUNIT_ASSERT(Repeated <= 2);
  }

  // Guards against memory that grows with the number of callers in an attack.
  void memoryIsBoundedByTheCapacity() {
    fair_queue Queue({.Capacity = 64});
    for (std::uint64_t Number = 0; Number < 23'000; ++Number) {
      push(Queue, requestOf(Number, "caller-" + std::to_string(Number)));
      CPPUNIT_ASSERT(Queue.size() <= 64);
    }
    CPPUNIT_ASSERT(Queue.removeAll().size() == 64);
    CPPUNIT_ASSERT(!Queue.pop(true).has_value());
  }

private:
  static bool push(fair_queue &Queue, const slot_request &Request) {
    std::optional<attempt_id> Displaced;
    return Queue.push(Request, Queue.bucketOf(Request.Caller), Displaced);
  }

  void offer(fair_queue &Queue, const std::string &Caller, int Count) {
    for (; Count > 0; --Count)
      push(Queue, requestOf(Next++, Caller));
  }

  std::uint64_t Next = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);
