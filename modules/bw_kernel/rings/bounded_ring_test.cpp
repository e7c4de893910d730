#include "bw_kernel/rings/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

class bounded_ring_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(bounded_ring_test);
  CPPUNIT_TEST(refusesWhenFull);
  CPPUNIT_TEST(keepsPlacesFree);
  CPPUNIT_TEST(dropsTheOldest);
  CPPUNIT_TEST(blockedPushEndsAtItsLimit);
  CPPUNIT_TEST(closedRingHandsOutWhatItHolds);
  CPPUNIT_TEST(popEndsAtItsDeadline);
  CPPUNIT_TEST(losesNothingBetweenThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a queue that grows without bound under overload.
  void refusesWhenFull() {
    bounded_ring<int> Ring(Clock, {.Capacity = 2});
    CPPUNIT_ASSERT(Ring.push(1));
    CPPUNIT_ASSERT(Ring.push(2));
    CPPUNIT_ASSERT(!Ring.push(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Ring.counters().Refused);
    CPPUNIT_ASSERT_EQUAL(1, *Ring.tryPop());
  }

  // Guards against items that may be lost taking the places of others.
  void keepsPlacesFree() {
    bounded_ring<int> Ring(Clock, {.Capacity = 3});
    CPPUNIT_ASSERT(Ring.tryPush(1, 2));
    CPPUNIT_ASSERT(!Ring.tryPush(2, 2));
    CPPUNIT_ASSERT(Ring.tryPush(2));
    CPPUNIT_ASSERT(Ring.tryPush(3));
  }

  void dropsTheOldest() {
    bounded_ring<int> Ring(
        Clock, {.Capacity = 2, .Overflow = overflow_policy::DropOldest});
    for (int Value = 1; Value <= 3; ++Value)
      CPPUNIT_ASSERT(Ring.push(Value));
    CPPUNIT_ASSERT_EQUAL(2, *Ring.tryPop());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Ring.counters().Dropped);
  }

  // Guards against a producer that waits for ever on a stuck consumer.
  void blockedPushEndsAtItsLimit() {
    Clock.pause();
    bounded_ring<int> Ring(
        Clock,
        {.Capacity = 1, .Overflow = overflow_policy::Block, .BlockLimit = 0s});
    CPPUNIT_ASSERT(Ring.push(1));
    CPPUNIT_ASSERT(!Ring.push(2));
  }

  void closedRingHandsOutWhatItHolds() {
    bounded_ring<int> Ring(Clock, {.Capacity = 2});
    Ring.push(1);
    Ring.close();
    CPPUNIT_ASSERT(!Ring.push(2));
    CPPUNIT_ASSERT_EQUAL(1, *Ring.pop());
    CPPUNIT_ASSERT(!Ring.pop().has_value());
  }

  void popEndsAtItsDeadline() {
    Clock.pause();
    bounded_ring<int> Ring(Clock, {.Capacity = 2});
    CPPUNIT_ASSERT(!Ring.pop(Clock.now()).has_value());
  }

  // Guards against lost items and lost wake-ups with several producers.
  void losesNothingBetweenThreads() {
    constexpr int PerProducer = 20'000;
    constexpr int ProducerCount = 4;
    bounded_ring<int> Ring(Clock, {.Capacity = 64,
                                   .Overflow = overflow_policy::Block,
                                   .BlockLimit = 60s});
    std::vector<std::thread> Producers;
    Producers.reserve(ProducerCount);
    for (int Producer = 0; Producer < ProducerCount; ++Producer)
      Producers.emplace_back([&] {
        for (int Value = 1; Value <= PerProducer; ++Value)
          Ring.push(Value);
      });
    std::int64_t Sum = 0;
    for (int Count = 0; Count < PerProducer * ProducerCount; ++Count)
      Sum += Ring.pop().value_or(0);
    for (std::thread &Producer : Producers)
      Producer.join();
    const std::int64_t PerProducerSum =
        std::int64_t(PerProducer) * (PerProducer + 1) / 2;
    CPPUNIT_ASSERT_EQUAL(PerProducerSum * ProducerCount, Sum);
  }

private:
  runtime_clock Clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_ring_test);
