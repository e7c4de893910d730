#include "bw_admission/room/room_estimate.h"
#include "bw_admission/room/urgency.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class room_estimate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(room_estimate_test);
  CPPUNIT_TEST(urgentRequestsMayUseMoreOfTheQueue);
  CPPUNIT_TEST(oneLevelWaitsAtTheHosts);
  CPPUNIT_TEST(learnsAShortQueueFromDeclines);
  CPPUNIT_TEST(learnsALongQueueFromAcceptedRequests);
  CPPUNIT_TEST(declinesOfFreeServersSayNothingOfTheQueue);
  CPPUNIT_TEST(queueingGrowsWithTheLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against patient requests that fill the queue of a server, so that
  // urgent ones wait behind them: each level must stop below the one above it,
  // and the last one at the slots.
  void urgentRequestsMayUseMoreOfTheQueue() {
    urgency_levels Levels;
    for (const std::uint32_t Each : {0U, 1U, 7U})
      Levels.add(urgency(Each));
    const room_estimate Room;
    const slot_count Slots(4);
    const double Urgent = 4 * Room.limitPerSlot(Levels.grade(urgency(0)), 0);
    const double Usual = 4 * Room.limitPerSlot(Levels.grade(urgency(1)), 0);
    const double Patient = 4 * Room.limitPerSlot(Levels.grade(urgency(7)), 0);
    CPPUNIT_ASSERT(Urgent > Usual);
    CPPUNIT_ASSERT(Usual > Patient);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, Patient, 0.001);
    CPPUNIT_ASSERT(Room.hasRoom({.Slots = Slots, .InFlight = 3}, 1));
    CPPUNIT_ASSERT(!Room.hasRoom({.Slots = Slots, .InFlight = 4}, 1));
    CPPUNIT_ASSERT(Room.hasRoom({.Slots = Slots, .InFlight = 4}, 0));
  }

  // Guards against requests of many customers that wait at the servers, which
  // serve them in the order of their arrival, whoever sent them.
  void oneLevelWaitsAtTheHosts() {
    urgency_levels Levels;
    Levels.add(urgency(3));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Levels.grade(urgency(3)), 0.001);
  }

  // Guards against urgent requests that are sent to full queues and declined:
  // servers that queue one request for four slots decline the next.
  void learnsAShortQueueFromDeclines() {
    room_estimate Room;
    for (int Request = 0; Request < 60; ++Request)
      Room.recordDeclined({.Slots = slot_count(4), .InFlight = 5});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Room.queuePerSlot(), 0.03);
    CPPUNIT_ASSERT(Room.hasRoom({.Slots = slot_count(4), .InFlight = 4}, 0));
    CPPUNIT_ASSERT(!Room.hasRoom({.Slots = slot_count(4), .InFlight = 5}, 0));
  }

  // Guards against an estimate that some declines lower for good: servers that
  // queue twelve requests for four slots accept all that are sent at the limit.
  void learnsALongQueueFromAcceptedRequests() {
    room_estimate Room;
    const slot_count Slots(4);
    for (int Request = 0; Request < 400; ++Request) {
      double InFlight = 0;
      while (Room.hasRoom({.Slots = Slots, .InFlight = InFlight + 1}, 0))
        ++InFlight;
      const server_load Load{.Slots = Slots, .InFlight = InFlight};
      if (InFlight >= 16)
        Room.recordDeclined(Load);
      else
        Room.recordAccepted(Load);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Room.queuePerSlot(), 0.3);
  }

  // Guards against a queue that counts as short because all servers decline
  // for another reason than their load.
  void declinesOfFreeServersSayNothingOfTheQueue() {
    room_estimate Room;
    for (int Request = 0; Request < 100; ++Request)
      Room.recordDeclined({.Slots = slot_count(4), .InFlight = 2});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Room.queuePerSlot(), 0.001);
  }

  // Guards against requests whose deadline passes in the queue of a server.
  void queueingGrowsWithTheLoad() {
    const slot_count Slots(4);
    CPPUNIT_ASSERT(expectedQueueing({.Slots = Slots, .InFlight = 3}, 200ms) ==
                   0ms);
    CPPUNIT_ASSERT(expectedQueueing({.Slots = Slots, .InFlight = 7}, 200ms) ==
                   200ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(room_estimate_test);
