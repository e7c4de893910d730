// Tests that a request is not sent once the time to send it by has passed, also
// when the host was suspended after the decision.

#include "bw_forward/service/forward_test_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace bw;
using namespace std::chrono_literals;

class send_before_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(send_before_test);
  CPPUNIT_TEST(sendsARequestInTime);
  CPPUNIT_TEST(aNewConnectionCarriesNoExpiredRequest);
  CPPUNIT_TEST(aKeptConnectionCarriesNoExpiredRequest);
  CPPUNIT_TEST(suspensionExpiresARequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void sendsARequestInTime() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    commandBefore(Arrived, Clock->bootNow() + 5s);
    const auto Connection = Server->accept();
    CPPUNIT_ASSERT(!Connection->readUntil("\r\n\r\n").empty());
    Connection->write(answer("r1", "result"));
    relay(Arrived);
    CPPUNIT_ASSERT(!Caller->readUntil("result").empty());
  }

  // Guards against a withdrawn key whose request waits for a connect.
  void aNewConnectionCarriesNoExpiredRequest() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    commandBefore(Arrived, Clock->bootNow());
    expectExpired();
    const auto Connection = Server->accept();
    CPPUNIT_ASSERT_EQUAL(std::string(), Connection->readSome());
    refuse(Arrived);
  }

  void aKeptConnectionCarriesNoExpiredRequest() {
    const auto Connection = serve("r1", nullptr);
    Caller->write(request("r2"));
    const auto Arrived = Decide->next<request_arrived>();
    commandBefore(Arrived, Clock->bootNow() - 1s);
    expectExpired();
    CPPUNIT_ASSERT_EQUAL(std::string(), Connection->readSome());
    refuse(Arrived);
  }

  // Guards against a check by a clock that stands still during a suspension.
  void suspensionExpiresARequest() {
    const auto Connection = serve("r1", nullptr);
    Caller->write(request("r2"));
    const auto Arrived = Decide->next<request_arrived>();
    Clock->pause();
    const boot_time_point Before = Clock->bootNow() + 1s;
    Clock->suspend(1s);
    commandBefore(Arrived, Before);
    const auto Ended = [&] {
      // The ring's wait is bounded by the clock, which is paused.
      for (int Count = 0; Count < 500; ++Count) {
        if (auto Event = Decide->events().tryPop())
          return std::get<attempt_ended>(*Event);
        std::this_thread::sleep_for(10ms);
      }
      CPPUNIT_FAIL("no event within the time limit");
      return attempt_ended{};
    }();
    CPPUNIT_ASSERT(Ended.Outcome == attempt_outcome::Expired);
    CPPUNIT_ASSERT_EQUAL(std::string(), Connection->readSome());
    Clock->resume();
    refuse(Arrived);
  }

private:
  void commandBefore(const request_arrived &Arrived, boot_time_point Before) {
    start_attempt Command = startCommand(Arrived, 2s, "server-1");
    Command.SendBefore = Before;
    command(Command);
  }

  void expectExpired() {
    const auto Ended = Decide->next<attempt_ended>();
    CPPUNIT_ASSERT(Ended.Outcome == attempt_outcome::Expired);
    CPPUNIT_ASSERT_EQUAL(0, Ended.Status);
  }

  // The request itself is still open and can be refused.
  void refuse(const request_arrived &Arrived) {
    command(refuse_request{.Request = Arrived.Request,
                           .Reason = refusal_reason::ConfigurationStale,
                           .RetryAfter = 500ms});
    CPPUNIT_ASSERT(Caller->readUntil("\r\n\r\n").starts_with("HTTP/1.1 503 "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(send_before_test);
