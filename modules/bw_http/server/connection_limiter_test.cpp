#include "bw_http/server/connection_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

class connection_limiter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(connection_limiter_test);
  CPPUNIT_TEST(idleAndSlowConnectionsMakeRoom);
  CPPUNIT_TEST(largestHolderIsReset);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against connections without a request, or with one that never ends,
  // that keep others out.
  void idleAndSlowConnectionsMakeRoom() {
    connection_limiter Limiter(options());
    open(Limiter, 1);
    open(Limiter, 2);
    Limiter.received(http_connection_id(1), 10);
    CPPUNIT_ASSERT(open(Limiter, 3));
    Now += 1s;
    Limiter.received(http_connection_id(3), 10);
    CPPUNIT_ASSERT(!open(Limiter, 4));
    Now += 2s;
    CPPUNIT_ASSERT(open(Limiter, 5));
    CPPUNIT_ASSERT(Closed == (std::vector<std::uint64_t>{2, 1}));
    CPPUNIT_ASSERT(Reasons == (std::vector<close_reason>{
                                  close_reason::Idle, close_reason::NoRoom,
                                  close_reason::SlowRequest}));
  }

  // Guards against bytes without a common bound, and against bytes that stay
  // counted.
  void largestHolderIsReset() {
    connection_limiter Limiter(options());
    open(Limiter, 1);
    open(Limiter, 2);
    Limiter.received(http_connection_id(1), 600'000);
    const byte_count Held = Limiter.requestBegan(http_connection_id(1));
    Limiter.responseQueued(http_connection_id(1), 1000);
    Limiter.received(http_connection_id(2), 200'000);
    CPPUNIT_ASSERT(!Limiter.makeRoomForRequest());
    CPPUNIT_ASSERT(Later != nullptr);
    Later();
    CPPUNIT_ASSERT(Closed == std::vector<std::uint64_t>{1});
    Limiter.responseWritten(http_connection_id(1), 1000);
    Limiter.requestEnded(http_connection_id(1), Held);
    Limiter.closed(http_connection_id(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Limiter.usage().CallerBytes.Used);
    CPPUNIT_ASSERT(Limiter.makeRoomForRequest());
  }

private:
  connection_limiter_options options() {
    return {
        .Budget = {.CallerConnections = connection_count(2),
                   .CallerBytes = mebibytes(1)},
        .Now = [this] { return Now; },
        .Post = [this](std::function<void()> Hook) { Later = std::move(Hook); },
        .OnLimit = [this](close_reason Each) { Reasons.push_back(Each); }};
  }

  bool open(connection_limiter &Limiter, std::uint64_t Id) {
    Limiter.accepted(http_connection_id(Id));
    return Limiter.open([this, Id](bool) { Closed.push_back(Id); }).has_value();
  }

  time_point Now{};
  std::function<void()> Later;
  std::vector<std::uint64_t> Closed;
  std::vector<close_reason> Reasons;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_limiter_test);
