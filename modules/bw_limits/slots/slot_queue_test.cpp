#include "bw_limits/slots/slot_queue.h"

#include "bw_core/random/random_source.h"
#include "bw_limits/limits_error.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <unordered_map>

using namespace bw;
using namespace std::chrono_literals;

namespace {

attempt_id attemptOf(std::uint64_t Number) {
  return {.Request = {.Entry = {.Host = host_id("entry")},
                      .Sequence = sequence_number(Number)},
          .Attempt = sequence_number(1)};
}

/// Decisions on a sequence of offers to a warm instance with `Slots` slots,
/// whose answers take 100 ms (short) or 1 s (long).
struct offer_case {
  const char *Failure;
  std::uint32_t Slots;
  /// s: short, l: long, t: short with 140 ms left, d: deadline has passed, n:
  /// short, may not wait. Each request is from a different caller.
  const char *Offers;
  /// a: admitted, q: queued, f: queue full, t: deadline too close, p: passed,
  /// n: no free slot.
  const char *Decisions;
};

/// In these cases the queue holds up to 3 requests.
const offer_case OfferCases[] = {
    {"more in flight than slots", 2, "sss", "aaq"},
    {"exports take all slots of a small server", 2, "llss", "aqaq"},
    {"exports take all slots of a large server", 6, "lllllss", "aaaaqaa"},
    {"a single slot is never used for exports", 1, "ls", "aq"},
    {"queue exceeds its capacity", 1, "ssssss", "aqqqff"},
    {"request that cannot meet its deadline is queued", 2, "sst", "aat"},
    {"request with a free slot is refused for its deadline", 2, "t", "a"},
    {"request past its deadline is run", 2, "d", "p"},
    {"request queues while another instance has room", 2, "nnnsn", "aanqn"},
};

char letterOf(const slot_decision &Decision) {
  if (Decision.Type == slot_decision_type::Admitted)
    return 'a';
  if (Decision.Type == slot_decision_type::Queued)
    return 'q';
  switch (Decision.Reason) {
  case slot_refusal::NoFreeSlot:
    return 'n';
  case slot_refusal::QueueFull:
    return 'f';
  case slot_refusal::DeadlineTooClose:
    return 't';
  case slot_refusal::DeadlinePassed:
    return 'p';
  case slot_refusal::Displaced:
    return 'x';
  default:
    return 'o';
  }
}

} // namespace

class slot_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slot_queue_test);
  CPPUNIT_TEST(decidesOffers);
  CPPUNIT_TEST(coldServerGetsOneRequestFirst);
  CPPUNIT_TEST(sheddingServerGetsFewerRequests);
  CPPUNIT_TEST(closedQueueRefusesWithItsReason);
  CPPUNIT_TEST(lightCallerDisplacesFlooder);
  CPPUNIT_TEST(cancelReportsWhetherItIsInFlight);
  CPPUNIT_TEST(repeatedOfferThrows);
  CPPUNIT_TEST(waitingLongRequestGetsItsSlot);
  CPPUNIT_TEST(expiredRequestIsNotAdmitted);
  CPPUNIT_TEST(requestsInFlightSurviveFewerSlots);
  CPPUNIT_TEST(keepsInvariantsUnderRandomLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Now = time_point(100s); }

  void decidesOffers() {
    for (const offer_case &Case : OfferCases) {
      slot_queue Queue = warmQueue(Case.Slots, 3);
      std::string Decisions;
      for (const char *Offer = Case.Offers; *Offer; ++Offer)
        Decisions += letterOf(Queue.offer(requestOf(*Offer), Now).front());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Decisions),
                                   Decisions);
    }
  }

  // Guards against filling all slots of a server at once while its caches are
  // cold.
  void coldServerGetsOneRequestFirst() {
    slot_queue Queue({.Slots = slot_count(6)});
    offerShort(Queue, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.inFlight());
    Queue.finished(attemptOf(1), slot_outcome::Failed, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.inFlight());
    Queue.finished(attemptOf(2), slot_outcome::Answered, Now + 10ms);
    CPPUNIT_ASSERT_EQUAL(slot_count(2), Queue.usableSlots());
    Queue.coldStart();
    CPPUNIT_ASSERT_EQUAL(slot_count(1), Queue.usableSlots());
  }

  // Guards against two owners that together exceed the capacity of a server.
  void sheddingServerGetsFewerRequests() {
    slot_queue Queue = warmQueue(2, 3);
    offerShort(Queue, 2);
    Queue.finished(attemptOf(Next - 1), slot_outcome::Shed, Now);
    CPPUNIT_ASSERT_EQUAL(slot_count(1), Queue.usableSlots());
    CPPUNIT_ASSERT_EQUAL(slot_count(0), Queue.freeSlots());
    Queue.finished(attemptOf(Next - 2), slot_outcome::Answered, Now);
    CPPUNIT_ASSERT_EQUAL(slot_count(2), Queue.usableSlots());
  }

  // Guards against admitting requests to a leaving server, and against
  // reporting a request as not run that is in flight.
  void closedQueueRefusesWithItsReason() {
    slot_queue Queue = warmQueue(1, 3);
    offerShort(Queue, 3);
    const slot_decisions Closed = Queue.close(slot_refusal::ServerLeaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Closed.size());
    for (const slot_decision &Decision : Closed) {
      CPPUNIT_ASSERT(Decision.Reason == slot_refusal::ServerLeaving);
      CPPUNIT_ASSERT(Decision.Attempt != attemptOf(Next - 3));
    }
    CPPUNIT_ASSERT(Queue.offer(requestOf('s'), Now).front().Reason ==
                   slot_refusal::ServerLeaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.inFlight());
    Queue.finished(attemptOf(Next - 4), slot_outcome::Answered, Now);
    Queue.open();
    CPPUNIT_ASSERT_EQUAL('a', letterOf(Queue.offer(requestOf('s'), Now)[0]));
  }

  // Guards against one caller that excludes all others from a full queue.
  void lightCallerDisplacesFlooder() {
    slot_queue Queue = warmQueue(1, 3);
    for (int Count = 0; Count < 4; ++Count)
      Queue.offer(requestOf('s', "flooder"), Now);
    const slot_decisions Decisions = Queue.offer(requestOf('s', "light"), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Decisions.size());
    CPPUNIT_ASSERT_EQUAL('q', letterOf(Decisions[0]));
    CPPUNIT_ASSERT_EQUAL('x', letterOf(Decisions[1]));
    CPPUNIT_ASSERT(Decisions[1].Attempt == attemptOf(Next - 2));
    CPPUNIT_ASSERT_EQUAL(
        'f', letterOf(Queue.offer(requestOf('s', "flooder"), Now)[0]));
  }

  void cancelReportsWhetherItIsInFlight() {
    slot_queue Queue = warmQueue(1, 3);
    offerShort(Queue, 2);
    CPPUNIT_ASSERT(Queue.cancel(attemptOf(Next - 2)) ==
                   cancel_result::InFlight);
    CPPUNIT_ASSERT(Queue.cancel(attemptOf(Next - 1)) == cancel_result::Removed);
    CPPUNIT_ASSERT(Queue.cancel(attemptOf(Next - 1)) == cancel_result::Unknown);
    CPPUNIT_ASSERT(
        Queue.finished(attemptOf(Next - 2), slot_outcome::Failed, Now).empty());
  }

  // Guards against reporting an attempt as not run because its forward was
  // delivered twice.
  void repeatedOfferThrows() {
    slot_queue Queue = warmQueue(1, 3);
    const slot_request Running = requestOf('s');
    const slot_request Waiting = requestOf('s');
    Queue.offer(Running, Now);
    Queue.offer(Waiting, Now);
    CPPUNIT_ASSERT_THROW(Queue.offer(Running, Now), attempt_already_offered);
    CPPUNIT_ASSERT_THROW(Queue.offer(Waiting, Now), attempt_already_offered);
  }

  // Guards against starvation of exports by short requests.
  void waitingLongRequestGetsItsSlot() {
    slot_queue Queue = warmQueue(2, 64);
    for (const char Kind : {'l', 'l', 's', 's', 's', 's', 's', 's'})
      Queue.offer(requestOf(Kind), Now);
    const std::uint64_t FirstLong = Next - 8;
    const slot_decisions Decisions =
        Queue.finished(attemptOf(FirstLong), slot_outcome::Answered, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decisions.size());
    std::size_t Ended = 0;
    for (std::uint64_t Short = FirstLong + 2; Queue.longInFlight() == 0;
         ++Short, ++Ended)
      Queue.finished(attemptOf(Short), slot_outcome::Answered, Now);
    CPPUNIT_ASSERT(Ended <= 6);
  }

  // Guards against admitting a request whose caller has been told that its
  // deadline passed, when a slot becomes free before the next tick.
  void expiredRequestIsNotAdmitted() {
    slot_queue Queue = warmQueue(1, 3);
    offerShort(Queue, 1);
    slot_request Waiting = requestOf('s');
    Waiting.Deadline = Now + 250ms;
    CPPUNIT_ASSERT_EQUAL('q', letterOf(Queue.offer(Waiting, Now)[0]));
    CPPUNIT_ASSERT(Queue.nextTick() == Waiting.Deadline);
    const slot_decisions Decisions = Queue.finished(
        attemptOf(Next - 2), slot_outcome::Answered, Waiting.Deadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decisions.size());
    CPPUNIT_ASSERT_EQUAL('p', letterOf(Decisions[0]));
  }

  void requestsInFlightSurviveFewerSlots() {
    slot_queue Queue = warmQueue(6, 3);
    offerShort(Queue, 7);
    CPPUNIT_ASSERT(Queue.setSlots(slot_count(2), Now).empty());
    for (std::uint64_t Ended = 1; Ended <= 4; ++Ended)
      CPPUNIT_ASSERT(Queue
                         .finished(attemptOf(Next - Ended - 1),
                                   slot_outcome::Answered, Now)
                         .empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Queue.setSlots(slot_count(6), Now).size());
  }

  // Guards against overcommitted slots, a queue above its bound, refusal of an
  // admitted request, and lost requests.
  void keepsInvariantsUnderRandomLoad() {
    random_source Random(testSeed());
    for (int Round = 0; Round < 40; ++Round) {
      const std::uint32_t Slots =
          1 + static_cast<std::uint32_t>(Random.below(8));
      slot_queue Queue({.Slots = slot_count(Slots), .Queue = {.Capacity = 10}});
      /// True for admitted requests; erased when they are refused or finished.
      std::unordered_map<attempt_id, bool> Offered;
      const auto Apply = [&](const slot_decisions &Decisions) {
        for (const slot_decision &Decision : Decisions) {
          CPPUNIT_ASSERT(!Offered[Decision.Attempt]);
          if (Decision.Type == slot_decision_type::Refused)
            Offered.erase(Decision.Attempt);
          else
            Offered[Decision.Attempt] =
                Decision.Type == slot_decision_type::Admitted;
        }
      };
      for (int Step = 0; Step < 500; ++Step) {
        Now += std::chrono::milliseconds(Random.below(40));
        if (Offered.empty() || Random.chance(0.5)) {
          Apply(Queue.offer(randomRequest(Random), Now));
        } else {
          auto Ended = Offered.begin();
          std::advance(Ended, Random.below(Offered.size()));
          const attempt_id Attempt = Ended->first;
          if (Ended->second) {
            Offered.erase(Ended);
            Apply(Queue.finished(
                Attempt, static_cast<slot_outcome>(Random.below(3)), Now));
          } else if (Random.chance(0.2)) {
            CPPUNIT_ASSERT(Queue.cancel(Attempt) == cancel_result::Removed);
            Offered.erase(Ended);
          }
        }
        Apply(Queue.tick(Now));
        CPPUNIT_ASSERT(Queue.inFlight() <= Slots);
        CPPUNIT_ASSERT(Queue.waiting() <= 10);
        CPPUNIT_ASSERT(Queue.longInFlight() <= longSlotsOf(Slots));
        CPPUNIT_ASSERT_EQUAL(Offered.size(),
                             Queue.inFlight() + Queue.waiting());
      }
    }
  }

private:
  static std::uint32_t longSlotsOf(std::uint32_t Slots) {
    return std::max(1U, Slots - (Slots < 4 ? Slots / 2 : Slots / 3));
  }

  slot_request requestOf(char Kind, std::string Caller = "") {
    const std::uint64_t Number = Next++;
    if (Caller.empty())
      Caller = "caller-" + std::to_string(Number);
    slot_request Request{.Attempt = attemptOf(Number),
                         .Caller = caller_id(Caller),
                         .Long = Kind == 'l',
                         .MayWait = Kind != 'n'};
    if (Kind == 't')
      Request.Deadline = Now + 140ms;
    if (Kind == 'd')
      Request.Deadline = Now;
    return Request;
  }

  slot_request randomRequest(random_source &Random) {
    slot_request Request =
        requestOf(Random.chance(0.2) ? 'l' : 's',
                  "caller-" + std::to_string(Random.below(4)));
    Request.Deadline = Now + std::chrono::milliseconds(Random.below(3000));
    Request.MayWait = Random.chance(0.8);
    return Request;
  }

  void offerShort(slot_queue &Queue, int Count) {
    for (; Count > 0; --Count)
      Queue.offer(requestOf('s'), Now);
  }

  slot_queue warmQueue(std::uint32_t Slots, std::uint32_t Capacity) {
    slot_queue Queue({.Slots = slot_count(Slots),
                      .ColdSlots = slot_count(Slots),
                      .Queue = {.Capacity = Capacity}});
    for (const char Kind : {'s', 'l'}) {
      const slot_request Request = requestOf(Kind);
      Queue.offer(Request, Now);
      Now += Kind == 's' ? 100ms : 1s;
      Queue.finished(Request.Attempt, slot_outcome::Answered, Now);
    }
    return Queue;
  }

  std::uint64_t Next = 1;
  time_point Now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_queue_test);
