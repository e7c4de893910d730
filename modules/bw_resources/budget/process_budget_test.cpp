#include "bw_resources/budget/process_budget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class process_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(process_budget_test);
  CPPUNIT_TEST(limitsAreDivided);
  CPPUNIT_TEST(smallestHostsServeRequests);
  CPPUNIT_TEST(longestIdleCallerIsFound);
  CPPUNIT_TEST(oneCallerGetsItsShareOnly);
  CPPUNIT_TEST(nextResponseIsReadWhateverIsBehindIt);
  CPPUNIT_TEST(callersAboveTheMeanArePaused);
  CPPUNIT_TEST(requestsAreRefusedNearTheLimit);
  CPPUNIT_TEST(resetTakesBytesTimeAndRequestsIntoAccount);
  CPPUNIT_TEST(bodiesArePausedAtTheirLimit);
  CPPUNIT_TEST(closedCallersHoldNothing);
  CPPUNIT_TEST(peaksAreKept);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against budgets that together exceed the limits of the process.
  void limitsAreDivided() {
    const process_budget_options Options =
        divideLimits({.Memory = mebibytes(260), .Descriptors = 4100});
    CPPUNIT_ASSERT(Options.CallerBytes + Options.ServerBytes ==
                   mebibytes(260 - 64));
    CPPUNIT_ASSERT(Options.CallerBytes == mebibytes(147));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2301),
                         Options.CallerConnections.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1535),
                         Options.ServerConnections.value());
    const process_budget_options None = divideLimits({});
    CPPUNIT_ASSERT(None.CallerBytes.value() ==
                   process_budget_options::Unlimited);
    CPPUNIT_ASSERT(None.CallerConnections.value() ==
                   process_budget_options::Unlimited);
  }

  // Guards against a small limit that leaves no connection or byte at all.
  void smallestHostsServeRequests() {
    const process_budget_options Options =
        divideLimits({.Memory = mebibytes(10), .Descriptors = 10});
    CPPUNIT_ASSERT(Options.CallerBytes > mebibytes(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Options.CallerConnections.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Options.ServerConnections.value());
  }

  // Guards against closing a caller that is in use or has just come.
  void longestIdleCallerIsFound() {
    process_budget Budget({.CallerConnections = connection_count(3)});
    CPPUNIT_ASSERT(!Budget.longestIdleCaller());
    const auto First = Budget.addCaller(at(0s));
    const auto Second = Budget.addCaller(at(1s));
    CPPUNIT_ASSERT(Budget.hasRoomForCaller());
    const auto Third = Budget.addCaller(at(2s));
    CPPUNIT_ASSERT(!Budget.hasRoomForCaller());
    CPPUNIT_ASSERT(Budget.longestIdleCaller() == First);
    Budget.updateCaller(First, {.IsIdle = false}, at(3s));
    CPPUNIT_ASSERT(Budget.longestIdleCaller() == Second);
    Budget.updateCaller(First, {.IsIdle = true}, at(4s));
    Budget.removeCaller(Second);
    CPPUNIT_ASSERT(Budget.hasRoomForCaller());
    CPPUNIT_ASSERT(Budget.longestIdleCaller() == Third);
  }

  // Guards against unlimited responses for one caller when the process has
  // plenty of memory.
  void oneCallerGetsItsShareOnly() {
    process_budget Budget({});
    const auto Caller = Budget.addCaller(at(0s));
    hold(Budget, Caller, kibibytes(256));
    CPPUNIT_ASSERT(!Budget.pausesResponse(Caller, kibibytes(256), true));
    CPPUNIT_ASSERT(!Budget.pausesResponse(Caller, kibibytes(10), false));
    hold(Budget, Caller, kibibytes(257));
    CPPUNIT_ASSERT(Budget.pausesResponse(Caller, kibibytes(257), true));
    CPPUNIT_ASSERT(Budget.pausesResponse(Caller, kibibytes(10), false));
  }

  // Guards against a connection that waits for ever because responses behind
  // the next one use its share.
  void nextResponseIsReadWhateverIsBehindIt() {
    process_budget Budget({.CallerBytes = mebibytes(1)});
    const auto Caller = Budget.addCaller(at(0s));
    hold(Budget, Caller, kibibytes(1000));
    CPPUNIT_ASSERT(!Budget.pausesResponse(Caller, byte_count(), true));
    CPPUNIT_ASSERT(Budget.pausesResponse(Caller, byte_count(), false));
  }

  // Guards against small callers that pay for the large ones.
  void callersAboveTheMeanArePaused() {
    process_budget Budget({.CallerBytes = kibibytes(100)});
    const auto Large = Budget.addCaller(at(0s));
    const auto Small = Budget.addCaller(at(0s));
    hold(Budget, Large, kibibytes(50));
    hold(Budget, Small, kibibytes(5));
    CPPUNIT_ASSERT(!Budget.pausesResponse(Large, kibibytes(50), true));
    hold(Budget, Large, kibibytes(60));
    CPPUNIT_ASSERT(Budget.pausesResponse(Large, kibibytes(60), true));
    CPPUNIT_ASSERT(!Budget.pausesResponse(Small, kibibytes(5), true));
  }

  // Guards against new work that is accepted when the bytes are used up.
  void requestsAreRefusedNearTheLimit() {
    process_budget Budget(
        {.CallerBytes = kibibytes(100), .OpenRequests = request_count(2)});
    const auto Caller = Budget.addCaller(at(0s));
    hold(Budget, Caller, kibibytes(89));
    CPPUNIT_ASSERT(Budget.hasRoomForRequest());
    hold(Budget, Caller, kibibytes(91));
    CPPUNIT_ASSERT(!Budget.hasRoomForRequest());
    hold(Budget, Caller, byte_count());
    Budget.requestOpened();
    Budget.requestOpened();
    CPPUNIT_ASSERT(!Budget.hasRoomForRequest());
    Budget.requestClosed();
    CPPUNIT_ASSERT(Budget.hasRoomForRequest());
  }

  // Guards against resetting a caller that reads while another one does not,
  // or one with a single request before one that sends many ahead.
  void resetTakesBytesTimeAndRequestsIntoAccount() {
    process_budget Budget({.CallerBytes = kibibytes(100)});
    const auto Reading = Budget.addCaller(at(0s));
    const auto Stalled = Budget.addCaller(at(0s));
    const auto Ahead = Budget.addCaller(at(0s));
    hold(Budget, Reading, kibibytes(40));
    hold(Budget, Stalled, kibibytes(30));
    CPPUNIT_ASSERT(!Budget.callerToReset(at(10s)));
    hold(Budget, Ahead, kibibytes(30), 8);
    Budget.callerProgressed(Reading, at(10s));
    CPPUNIT_ASSERT(Budget.callerToReset(at(10s)) == Ahead);
    hold(Budget, Ahead, kibibytes(30), 1);
    Budget.callerProgressed(Ahead, at(10s));
    CPPUNIT_ASSERT(Budget.callerToReset(at(10s)) == Stalled);
  }

  // Guards against bodies without a common bound.
  void bodiesArePausedAtTheirLimit() {
    process_budget Budget({.ServerBytes = kibibytes(100)});
    const auto Large = Budget.addCaller(at(0s));
    const auto Small = Budget.addCaller(at(0s));
    Budget.updateCaller(Small, {.Bodies = kibibytes(10), .IsIdle = false},
                        at(0s));
    Budget.updateCaller(Large, {.Bodies = kibibytes(60), .IsIdle = false},
                        at(0s));
    CPPUNIT_ASSERT(Budget.pausesBody(Large));
    CPPUNIT_ASSERT(!Budget.pausesBody(Small));
    Budget.updateCaller(Large, {.Bodies = kibibytes(90), .IsIdle = false},
                        at(0s));
    CPPUNIT_ASSERT(Budget.pausesBody(Small));
    CPPUNIT_ASSERT(Budget.areBodiesAtLimit());
  }

  // Guards against bytes that stay counted after their connection has closed.
  void closedCallersHoldNothing() {
    process_budget Budget({});
    const auto Caller = Budget.addCaller(at(0s));
    Budget.updateCaller(Caller,
                        {.Responses = kibibytes(3),
                         .Bodies = kibibytes(4),
                         .Requests = 1,
                         .IsIdle = false},
                        at(0s));
    Budget.removeCaller(Caller);
    Budget.updateCaller(Caller, {.Responses = kibibytes(1)}, at(0s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.usage().CallerBytes.Used);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.usage().ServerBytes.Used);
    CPPUNIT_ASSERT(!Budget.longestIdleCaller());
  }

  void peaksAreKept() {
    process_budget Budget({});
    Budget.serverOpened();
    Budget.serverOpened();
    Budget.serverClosed();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Budget.usage().ServerConnections.Used);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         Budget.usage().ServerConnections.Peak);
  }

private:
  static time_point at(duration Time) { return time_point(Time); }

  static void hold(process_budget &Budget, connection_number Caller,
                   byte_count Bytes, std::uint32_t Requests = 1) {
    Budget.updateCaller(Caller,
                        {.Responses = Bytes,
                         .Buffered = Bytes,
                         .Requests = Requests,
                         .IsIdle = false},
                        at(0s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_budget_test);
