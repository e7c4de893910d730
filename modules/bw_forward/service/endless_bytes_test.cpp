// Tests that bytes without an end, of servers and callers, neither use up the
// memory of the host nor keep it busy.

#include "bw_forward/service/forward_test_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// Far more than the buffers of the service and of the sockets hold.
constexpr std::size_t EndlessBytes = mebibytes(64).value();
constexpr std::size_t MaxHeldBytes = mebibytes(16).value();

// Writes until the peer has read nothing for a while. Returns the bytes
// written.
std::size_t writesUntilBlocked(test_socket &Connection) {
  constexpr int BlockedAfterMilliseconds = 300;
  const std::string Part(kibibytes(64).value(), 'x');
  std::size_t Written = 0;
  Connection.Socket.non_blocking(true);
  pollfd Poll{
      .fd = Connection.Socket.native_handle(), .events = POLLOUT, .revents = 0};
  while (Written < EndlessBytes &&
         ::poll(&Poll, 1, BlockedAfterMilliseconds) == 1) {
    asio::error_code Code;
    Written += Connection.Socket.write_some(asio::buffer(Part), Code);
    if (Code && Code != asio::error::would_block)
      break;
  }
  return Written;
}

} // namespace

class endless_bytes_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(endless_bytes_test);
  CPPUNIT_TEST(endlessHeadIsBounded);
  CPPUNIT_TEST(endlessBodyIsBounded);
  CPPUNIT_TEST(endlessBytesOutsideOfTheAnswerAreBounded);
  CPPUNIT_TEST(endlessAnswerBehindAnotherIsBounded);
  CPPUNIT_TEST(endlessRequestsAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against memory that grows with the head of a response, and against a
  // success or a reused connection after it.
  void endlessHeadIsBounded() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write("HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n");
    asio::error_code Code;
    std::size_t Written = 0;
    const std::string Field = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    while (!Code && Written < EndlessBytes)
      Written += asio::write(Connection->Socket, asio::buffer(Field), Code);
    CPPUNIT_ASSERT(Code);
    CPPUNIT_ASSERT(Decide->next<attempt_ended>().Outcome ==
                   attempt_outcome::Broken);
    command(refuse_request{.Request = Arrived.Request,
                           .Reason = refusal_reason::Unknown});
    CPPUNIT_ASSERT(Caller->readUntil("\r\n\r\n").starts_with("HTTP/1.1 502 "));
  }

  // Guards against memory that grows with a body without end, held or relayed,
  // and against an attempt that continues after its caller has left.
  void endlessBodyIsBounded() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write("HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n\r\n");
    // A held body is read up to the limit only; the rest fills the sockets.
    CPPUNIT_ASSERT(writesUntilBlocked(*Connection) < MaxHeldBytes);
    CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
    // The caller reads nothing of what is relayed.
    command(
        relay_answer{.Request = Arrived.Request, .Attempt = attempt_number(1)});
    CPPUNIT_ASSERT(writesUntilBlocked(*Connection) < MaxHeldBytes);
    Caller->Socket.close();
    Decide->next<caller_left>();
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
  }

  // Guards against a server that occupies the host and its caller with bytes
  // that are not part of the answer: they are limited, and neither a success
  // nor a refusal that the caller could take as "not executed" follows.
  void endlessBytesOutsideOfTheAnswerAreBounded() {
    const std::string Filler(10'000, 'x');
    const std::string Other = answer("r0", Filler);
    const std::string Chunk = "2710\r\n" + Filler + "\r\n";
    const struct {
      const char *Failure;
      std::string First;
      std::string Repeated;
    } Cases[] = {{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                 {"interim responses with fields", "",
                  "HTTP/1.1 103 Early Hints\r\nX: " + Filler + "\r\n\r\n"},
                 {"responses to other requests", "", Other},
                 {"body of another request's response",
                  "HTTP/1.1 200 OK\r\nBw-Request-Id: r0\r\n\r\n", Filler},
                 {"body of a refusal",
                  "HTTP/1.1 503 Full\r\nBw-Request-Id: r1\r\nBw-Not-Run: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  Chunk},
                 {"body of a refusal without an end",
                  "HTTP/1.1 421 No\r\nBw-Request-Id: r1\r\n\r\n", Filler},
                 {"body of an unusable response",
                  "HTTP/1.1 503 Full\r\nBw-Request-Id: r1\r\n\r\n", Filler},
                 {"chunk extensions",
                  "HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  "1;" + Filler + "\r\na\r\n"},
                 {"one chunk extension",
                  "HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n1;",
                  Filler},
                 {"trailer",
                  "HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
                  "X-Time: 12\r\n"},
                 {"reason phrase", "HTTP/1.1 200 ", Filler},
                 {"empty lines", "", "\r\n\r\n"},
                 {"no response", "", Filler}};
    for (const auto &Case : Cases) {
      Caller = std::make_unique<test_socket>();
      Caller->connect(Forward->port());
      Caller->write(request("r1"));
      const auto Arrived = Decide->next<request_arrived>();
      const auto Connection = start(Arrived);
      Connection->readUntil("\r\n\r\n");
      std::string Block;
      while (Block.size() < kibibytes(64).value())
        Block += Case.Repeated;
      asio::error_code Code;
      asio::write(Connection->Socket, asio::buffer(Case.First), Code);
      std::size_t Written = 0;
      while (!Code && Written < EndlessBytes)
        Written += asio::write(Connection->Socket, asio::buffer(Block), Code);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Code && Written < MaxHeldBytes);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                             Decide->next<attempt_ended>().Outcome ==
                                 attempt_outcome::Broken);
      command(refuse_request{.Request = Arrived.Request,
                             .Reason = refusal_reason::Unknown});
      CPPUNIT_ASSERT(
          Caller->readUntil("\r\n\r\n").starts_with("HTTP/1.1 502 "));
    }
  }

  // Guards against memory that grows with an answer that has to wait for an
  // earlier one on the caller's connection.
  void endlessAnswerBehindAnotherIsBounded() {
    Caller->write(request("r1") + request("r2"));
    const auto First = Decide->next<request_arrived>();
    const auto Second = Decide->next<request_arrived>();
    const auto FirstConnection = start(First);
    const auto SecondConnection = start(Second, 2s, "server-2");
    SecondConnection->readUntil("\r\n\r\n");
    SecondConnection->write("HTTP/1.1 200 OK\r\nBw-Request-Id: r2\r\n\r\n");
    CPPUNIT_ASSERT(writesUntilBlocked(*SecondConnection) < MaxHeldBytes);
    relay(Second);
    CPPUNIT_ASSERT(writesUntilBlocked(*SecondConnection) < MaxHeldBytes);
    FirstConnection->readUntil("\r\n\r\n");
    FirstConnection->write(answer("r1", "first."));
    relay(First);
    const std::string Got = Caller->readUntil("first.");
    CPPUNIT_ASSERT(Got.find("first.") < Got.find("xxx"));
  }

  // Guards against callers that keep a connection busy with bytes that are not
  // part of a request.
  void endlessRequestsAreRejected() {
    const std::string Chunked =
        "POST /diary/1 HTTP/1.1\r\nHost: one.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Filler(10'000, 'x');
    const struct {
      const char *Failure;
      std::string First;
      std::string Repeated;
      const char *Status;
    } Cases[] = {
        {"empty lines", "", "\r\n", "400"},
        {"chunk extensions", Chunked, "1;" + Filler + "\r\na\r\n", "400"},
        {"trailer", Chunked + "0\r\n", "X-Time: 12\r\n", "431"},
        {"field", "GET / HTTP/1.1\r\nX: ", Filler, "431"},
        {"target", "GET /", Filler, "431"}};
    for (const auto &Case : Cases) {
      Caller = std::make_unique<test_socket>();
      Caller->connect(Forward->port());
      std::string Block = Case.First;
      while (Block.size() < mebibytes(1).value())
        Block += Case.Repeated;
      Caller->write(Block);
      CPPUNIT_ASSERT_MESSAGE(
          Case.Failure,
          Caller->readUntil("\r\n\r\n")
              .starts_with(std::string("HTTP/1.1 ") + Case.Status));
      CPPUNIT_ASSERT(Caller->isClosedByPeer());
      CPPUNIT_ASSERT(!Decide->events().tryPop());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_bytes_test);
