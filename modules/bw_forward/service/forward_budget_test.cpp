// The forward service under its budgets.

#include "bw_forward/service/forward_test_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace bw;
using namespace std::chrono_literals;

class forward_budget_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(forward_budget_test);
  CPPUNIT_TEST(longestIdleCallerMakesRoom);
  CPPUNIT_TEST(newCallerIsClosedIfNoneIsIdle);
  CPPUNIT_TEST(attemptWithoutServerConnectionIsNotSent);
  CPPUNIT_TEST(requestBehindLongResponseWaitsForItsEnd);
  CPPUNIT_TEST(requestBehindExpectedLongResponseWaits);
  CPPUNIT_TEST(waitingCountsTowardsTheDeadline);
  CPPUNIT_TEST(endedRequestResetsItsCaller);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against idle callers that keep others out.
  void longestIdleCallerMakesRoom() {
    serve("r1", nullptr);
    test_socket Second;
    Second.connect(Forward->port());
    // The first caller is in use again, so the second is idle for longest.
    Caller->write(request("r2"));
    Decide->next<request_arrived>();
    test_socket Third;
    Third.connect(Forward->port());
    test_socket Fourth;
    Fourth.connect(Forward->port());
    CPPUNIT_ASSERT(Second.isClosedByPeer());
    Fourth.write(request("r3"));
    Decide->next<request_arrived>();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(1),
        Forward->counters().ClosedCallers.count(close_reason::Idle));
  }

  // Guards against descriptors beyond the budget when all callers are in use.
  void newCallerIsClosedIfNoneIsIdle() {
    test_socket Others[2];
    Caller->write(request("r0"));
    Decide->next<request_arrived>();
    for (test_socket &Each : Others) {
      Each.connect(Forward->port());
      Each.write(request("r"));
      Decide->next<request_arrived>();
    }
    test_socket Fourth;
    Fourth.connect(Forward->port());
    CPPUNIT_ASSERT(Fourth.isClosedByPeer());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(1),
        Forward->counters().ClosedCallers.count(close_reason::NoRoom));
  }

  // Guards against server connections beyond the budget, and against a refusal
  // of such a request that could be taken for one that has run.
  void attemptWithoutServerConnectionIsNotSent() {
    std::unique_ptr<test_socket> Connections[2];
    for (auto &Each : Connections) {
      Caller->write(request("r"));
      const auto Arrived = Decide->next<request_arrived>();
      Each = start(Arrived);
    }
    // No connection is left or idle, so the request is refused at once.
    test_socket Other;
    Other.connect(Forward->port());
    Other.write(request("r3"));
    const std::string Got = Other.readUntil("\r\n\r\n");
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Got.find("Retry-After: 1\r\n") != Got.npos);
  }

  // Guards against requests that run and lose their responses when a long one
  // ahead of them breaks off.
  void requestBehindLongResponseWaitsForItsEnd() {
    Caller->write(request("r1"));
    const auto First = Decide->next<request_arrived>();
    const auto Connection = beginLong(First);
    Caller->write(request("r2"));
    std::this_thread::sleep_for(100ms);
    CPPUNIT_ASSERT(!Decide->events().tryPop());
    Connection->write(std::string(LongSize - SentFirst, 'x'));
    CPPUNIT_ASSERT(Decide->next<relay_ended>().IsComplete);
    const auto Second = Decide->next<request_arrived>();
    CPPUNIT_ASSERT(Second.Label == request_label("r2"));
  }

  // The same for requests that arrive together with the one ahead, once a
  // response of its path was long.
  void requestBehindExpectedLongResponseWaits() {
    Caller->write(request("r1"));
    const auto First = Decide->next<request_arrived>();
    auto Connection = beginLong(First);
    Connection->write(std::string(LongSize - SentFirst, 'x'));
    CPPUNIT_ASSERT(Decide->next<relay_ended>().IsComplete);
    Caller->write(request("r2") + request("r3"));
    const auto Second = Decide->next<request_arrived>();
    std::this_thread::sleep_for(100ms);
    CPPUNIT_ASSERT(!Decide->events().tryPop());
    command(startCommand(Second, 2s, "server-1"));
    Connection->readUntil("\r\n\r\n");
    Connection->write(answer("r2", "short"));
    relay(Second);
    CPPUNIT_ASSERT(Decide->next<request_arrived>().Label ==
                   request_label("r3"));
  }

  // Guards against a request that runs after its caller's deadline because it
  // has waited behind another one.
  void waitingCountsTowardsTheDeadline() {
    Caller->write(request("r1"));
    const auto First = Decide->next<request_arrived>();
    CPPUNIT_ASSERT(First.CallerTimeout == 4s);
    const auto Connection = beginLong(First);
    Caller->write(request("r2"));
    std::this_thread::sleep_for(200ms);
    Connection->write(std::string(LongSize - SentFirst, 'x'));
    Decide->next<relay_ended>();
    const auto Second = Decide->next<request_arrived>();
    CPPUNIT_ASSERT(Second.CallerTimeout < 3900ms);
  }

  // Guards against an answer past its deadline that the caller waits for.
  void endedRequestResetsItsCaller() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = beginLong(Arrived);
    command(end_request{Arrived.Request});
    while (!Caller->isClosedByPeer()) {
    }
    CPPUNIT_ASSERT(Caller->WasReset);
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
    CPPUNIT_ASSERT(!Decide->events().tryPop());
  }

protected:
  // Three connections of callers and two of servers.
  forward_service_options options() const override {
    return {.BufferLimit = kibibytes(64), .Limits = {.Descriptors = 264 + 5}};
  }

private:
  static constexpr std::size_t LongSize = 150'000;
  static constexpr std::size_t SentFirst = 100'000;

  // Relays the first part of a long response.
  std::unique_ptr<test_socket> beginLong(const request_arrived &Arrived) {
    auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    const std::string Whole =
        answer(Arrived.Label.value(), std::string(LongSize, 'x'));
    Connection->write(Whole.substr(0, Whole.size() - LongSize + SentFirst));
    CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
    command(
        relay_answer{.Request = Arrived.Request, .Attempt = attempt_number(1)});
    Caller->readUntil("xxx");
    return Connection;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forward_budget_test);

/// The whole response is handed to the socket at once.
class closing_response_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(closing_response_test);
  CPPUNIT_TEST(closingResponseIsWrittenWhileItMakesProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a last response that is cut while its caller reads it: small
  // segments and a small window keep its last part out of the socket's buffer
  // for longer than the time for lingering.
  void closingResponseIsWrittenWhileItMakesProgress() {
    constexpr std::size_t Size = 3'000'000;
    constexpr int SmallBuffer = 16'384;
    constexpr int SegmentSize = 1400;
    test_socket Slow;
    Slow.Socket.open(asio::ip::tcp::v4());
    Slow.Socket.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
    ::setsockopt(Slow.Socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
                 &SegmentSize, sizeof SegmentSize);
    Slow.connect(Forward->port());
    Slow.write(request("r1", "GET", "", "Connection: close\r\n"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    std::thread Writer(
        [&] { Connection->write(answer("r1", std::string(Size, 'x'))); });
    relay(Arrived);
    std::size_t Got = 0;
    char Buffer[1000];
    for (int Step = 0; Step < 50; ++Step) {
      asio::error_code Code;
      Got += Slow.Socket.read_some(asio::buffer(Buffer), Code);
      std::this_thread::sleep_for(100ms);
    }
    for (std::string Part = Slow.readSome(); !Part.empty();
         Part = Slow.readSome())
      Got += Part.size();
    Writer.join();
    CPPUNIT_ASSERT(Got > Size);
    CPPUNIT_ASSERT(!Slow.WasReset);
  }

protected:
  forward_service_options options() const override {
    return {.BufferLimit = mebibytes(4)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(closing_response_test);
