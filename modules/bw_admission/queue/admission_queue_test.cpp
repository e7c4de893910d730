#include "bw_admission/queue/admission_queue.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const urgency Urgent(0);
const urgency Usual(1);
const urgency Patient(2);
const customer_id One("one");
const customer_id Two("two");
using result = admission_queue::start_result;

} // namespace

class admission_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_queue_test);
  CPPUNIT_TEST(urgentRequestsStartFirst);
  CPPUNIT_TEST(lessUrgentLevelsKeepAQuarterOfTheStarts);
  CPPUNIT_TEST(theTurnOfALessUrgentLevelUsesTheRoomOfUrgentOnes);
  CPPUNIT_TEST(customersOfOneLevelTakeTurns);
  CPPUNIT_TEST(callersThatCameBackStartBeforeNewOnes);
  CPPUNIT_TEST(earlierDeadlinesStartFirst);
  CPPUNIT_TEST(aLevelWithoutRoomDoesNotHoldUpOthers);
  CPPUNIT_TEST(returnsWhatCannotBeServedInTime);
  CPPUNIT_TEST(aFullLevelRefusesItsLargestCustomer);
  CPPUNIT_TEST(theLengthFollowsTheRateOfStarts);
  CPPUNIT_TEST(refusedRequestsDoNotCountAsStarts);
  CPPUNIT_TEST(retryAfterFollowsTheDrainTimeAndIsSpread);
  CPPUNIT_TEST(keepsNothingOfRequestsThatLeft);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Queue = admission_queue({.MinLength = 1000});
    Now = time_point(100s);
    Last = {};
  }

  // Guards against urgent requests that wait behind earlier, patient ones.
  void urgentRequestsStartFirst() {
    const auto Late = add(Patient);
    const auto Middle = add(Usual);
    const auto First = add(Urgent);
    CPPUNIT_ASSERT(startOne() == First);
    CPPUNIT_ASSERT(startOne() == Middle);
    CPPUNIT_ASSERT(startOne() == Late);
  }

  // Guards against starving less urgent levels while urgent requests always
  // wait: the two others must get one start in four, each of them some.
  void lessUrgentLevelsKeepAQuarterOfTheStarts() {
    constexpr int Starts = 200;
    for (int Request = 0; Request < Starts; ++Request) {
      add(Usual);
      add(Patient);
    }
    std::map<urgency, int> Counts;
    for (int Start = 0; Start < Starts; ++Start) {
      add(Urgent);
      ++Counts[Urgencies.at(startOne())];
    }
    CPPUNIT_ASSERT_EQUAL(Starts * 3 / 4, Counts[Urgent]);
    CPPUNIT_ASSERT(Counts[Usual] >= Starts / 8 - 1);
    CPPUNIT_ASSERT(Counts[Patient] >= Starts / 8 - 1);
  }

  // Guards against starving less urgent levels because urgent requests keep the
  // slots full: on its turn, a level must be allowed the room of urgent ones.
  void theTurnOfALessUrgentLevelUsesTheRoomOfUrgentOnes() {
    add(Patient);
    int PatientStarts = 0;
    for (int Start = 0; Start < 8; ++Start) {
      add(Urgent);
      bool IsStarted = false;
      Queue.start(
          [&](const waiting_request &Request, bool IsTurn) {
            if (IsStarted || (Request.Urgency != Urgent && !IsTurn))
              return result::NoRoom;
            IsStarted = true;
            PatientStarts += Request.Urgency == Patient ? 1 : 0;
            return result::Started;
          },
          Now);
    }
    CPPUNIT_ASSERT_EQUAL(1, PatientStarts);
  }

  // Guards against a customer with a burst that delays the requests of others
  // of the same urgency.
  void customersOfOneLevelTakeTurns() {
    for (int Request = 0; Request < 50; ++Request)
      add(Usual, One);
    const auto First = add(Usual, Two);
    const auto Second = add(Usual, Two);
    startOne();
    CPPUNIT_ASSERT(startOne() == First);
    startOne();
    CPPUNIT_ASSERT(startOne() == Second);
  }

  // Guards against refusing a caller again and again while new ones are served.
  void callersThatCameBackStartBeforeNewOnes() {
    add(Usual, One, 1s);
    const auto Back = add(Usual, One, 2s, true);
    CPPUNIT_ASSERT(startOne() == Back);
  }

  // Guards against late answers to requests that could have been in time.
  void earlierDeadlinesStartFirst() {
    add(Usual, One, 2s);
    const auto First = add(Usual, One, 1s);
    CPPUNIT_ASSERT(startOne() == First);
  }

  // Guards against idle slots while the first level in order may not use them.
  void aLevelWithoutRoomDoesNotHoldUpOthers() {
    add(Urgent);
    const auto Other = add(Usual);
    std::vector<waiting_number> Started;
    Queue.start(
        [&](const waiting_request &Request, bool) {
          if (Request.Urgency == Urgent)
            return result::NoRoom;
          Started.push_back(Request.Number);
          return result::Started;
        },
        Now);
    CPPUNIT_ASSERT(Started == std::vector{Other});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
  }

  // Guards against callers that wait for an answer that would come too late.
  void returnsWhatCannotBeServedInTime() {
    add(Usual, One, 2s);
    const auto Early = add(Urgent, Two, 1s);
    CPPUNIT_ASSERT(Queue.nextExpiry() == Now + 1s);
    CPPUNIT_ASSERT(Queue.takeExpired(Now + 999ms).empty());
    const auto Expired = Queue.takeExpired(Now + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Expired.size());
    CPPUNIT_ASSERT(Expired.front().Number == Early);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
  }

  // Guards against a burst of one customer that makes the requests of others be
  // refused, whoever arrives last.
  void aFullLevelRefusesItsLargestCustomer() {
    Queue = admission_queue({.MaxLength = 5, .MinLength = 5});
    for (int Request = 0; Request < 4; ++Request)
      add(Usual, One);
    add(Usual, Two);
    add(Urgent, One);
    CPPUNIT_ASSERT(Displaced.empty());
    add(Usual, Two);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Displaced.size());
    CPPUNIT_ASSERT(Displaced.front().Customer == One);
    CPPUNIT_ASSERT(Displaced.front().Urgency == Usual);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Queue.size());
  }

  // Guards against requests that wait for nothing: with ten starts a second, 40
  // requests cannot be started in the second that they have.
  void theLengthFollowsTheRateOfStarts() {
    Queue = admission_queue({.MaxLength = 1000, .MinLength = 2});
    for (int Start = 0; Start < 50; ++Start) {
      add(Usual);
      startOne();
      Now += 100ms;
    }
    Displaced.clear();
    for (int Request = 0; Request < 40; ++Request)
      add(Usual, One, 1s);
    CPPUNIT_ASSERT(Queue.size() >= 8);
    CPPUNIT_ASSERT(Queue.size() <= 12);
    CPPUNIT_ASSERT_EQUAL(40 - Queue.size(), Displaced.size());
  }

  // Guards against a drain time that counts refusals as served requests.
  void refusedRequestsDoNotCountAsStarts() {
    for (int Request = 0; Request < 5; ++Request)
      add(Usual);
    Queue.start(
        [](const waiting_request &Request, bool) {
          return Request.Number.value() < 3 ? result::Refused : result::NoRoom;
        },
        Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Queue.size());
    CPPUNIT_ASSERT(Queue.drainTime(Usual, Now) >= 5s);
  }

  // Guards against refused callers that come back while the queue is still
  // full, and against all of them at the same time.
  void retryAfterFollowsTheDrainTimeAndIsSpread() {
    for (int Start = 0; Start < 50; ++Start) {
      add(Usual);
      startOne();
      Now += 100ms;
    }
    for (int Request = 0; Request < 20; ++Request)
      add(Usual, One, 4s);
    random_source Random(testSeed());
    const duration Drain = Queue.drainTime(Usual, Now);
    CPPUNIT_ASSERT(Drain > 1500ms);
    CPPUNIT_ASSERT(Drain < 2500ms);
    duration Least = 100s;
    duration Most{};
    for (int Caller = 0; Caller < 100; ++Caller) {
      const duration After =
          Queue.retryAfter(Usual, {.Min = 300ms}, Now, Random);
      Least = std::min(Least, After);
      Most = std::max(Most, After);
    }
    CPPUNIT_ASSERT(Least >= Drain);
    CPPUNIT_ASSERT(Most <= Drain + Drain / 2);
    CPPUNIT_ASSERT(Most - Least > Drain / 4);
    // A caller that has little time left would not come back after longer.
    for (int Caller = 0; Caller < 100; ++Caller)
      CPPUNIT_ASSERT(Queue.retryAfter(Usual, {.Min = 300ms, .Max = 900ms}, Now,
                                      Random) <= 900ms);
    CPPUNIT_ASSERT(admission_queue().retryAfter(Usual, {.Min = 300ms}, Now,
                                                Random) >= 300ms);
  }

  // Guards against growth of memory and against starting a request whose caller
  // has left.
  void keepsNothingOfRequestsThatLeft() {
    const auto Left = add(Usual);
    const auto Stays = add(Usual);
    Queue.remove(Left);
    Queue.remove(Left);
    CPPUNIT_ASSERT(startOne() == Stays);
    CPPUNIT_ASSERT(Queue.empty());
    CPPUNIT_ASSERT(Queue.nextExpiry() == time_point::max());
    add(Urgent);
    add(Patient);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queue.takeAll().size());
    CPPUNIT_ASSERT(Queue.empty());
  }

private:
  waiting_number add(urgency Urgency, const customer_id &Customer = {},
                     duration Wait = 1000s, bool HasComeBack = false) {
    Last = Last.next();
    Urgencies[Last] = Urgency;
    Queue.add({.Number = Last,
               .Urgency = Urgency,
               .Customer = Customer,
               .LatestStart = Now + Wait,
               .UsefulStart = Now + Wait,
               .HasComeBack = HasComeBack});
    for (waiting_request &Each : Queue.takeExcess(Now))
      Displaced.push_back(std::move(Each));
    return Last;
  }

  waiting_number startOne() {
    std::optional<waiting_number> Started;
    Queue.start(
        [&](const waiting_request &Request, bool) {
          if (Started)
            return result::NoRoom;
          Started = Request.Number;
          return result::Started;
        },
        Now);
    CPPUNIT_ASSERT(Started.has_value());
    return *Started;
  }

  admission_queue Queue;
  std::vector<waiting_request> Displaced;
  std::map<waiting_number, urgency> Urgencies;
  waiting_number Last;
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_test);
