// Tests the forward service over loopback sockets with scripted callers,
// servers and decisions.

#include "bw_forward/service/forward_test_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

using namespace bw;
using namespace std::chrono_literals;

class forward_service_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(forward_service_test);
  CPPUNIT_TEST(relaysRequestsAndResponsesUnchanged);
  CPPUNIT_TEST(reusesConnectionsOnBothSides);
  CPPUNIT_TEST(answersPipelinedRequestsInOrder);
  CPPUNIT_TEST(skipsLateResponsesToOtherRequests);
  CPPUNIT_TEST(doesNotReuseServerConnectionAfterAnonymousRefusal);
  CPPUNIT_TEST(doesNotReuseServerConnectionWithExtraBytes);
  CPPUNIT_TEST(doesNotResendRequestAfterBrokenReusedConnection);
  CPPUNIT_TEST(reportsRefusedConnectionAsNotSent);
  CPPUNIT_TEST(resetsCallerOnTruncatedResponse);
  CPPUNIT_TEST(closesServerConnectionWhenCallerDisconnects);
  CPPUNIT_TEST(refusalsContainRetryAfter);
  CPPUNIT_TEST(rejectsInvalidRequestsAndClosesConnection);
  CPPUNIT_TEST(streamsLongResponsesWithBackPressure);
  CPPUNIT_TEST(streamsLongUploads);
  CPPUNIT_TEST(plannedStopFinishesRequestsAndClosesConnections);
  CPPUNIT_TEST(plannedStopClosesConnectionsWithoutRequest);
  CPPUNIT_TEST(ignoresRequestsAfterClosingResponse);
  CPPUNIT_TEST(responseBrokenInItsHeadIsNoSuccess);
  CPPUNIT_TEST(responseEndedByResetIsIncomplete);
  CPPUNIT_TEST(secondCopyOfResponseEndsIdleConnection);
  CPPUNIT_TEST(trailersReachNoOtherMessage);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against changes to methods, paths and bodies, and against forwarded
  // hop-by-hop fields.
  void relaysRequestsAndResponsesUnchanged() {
    Caller->write(request("r1", "POST", "body",
                          "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: "
                          "dropped\r\n"));
    const auto Arrived = Decide->next<request_arrived>();
    CPPUNIT_ASSERT_EQUAL(std::string("/diary/1"), Arrived.Path);
    CPPUNIT_ASSERT_EQUAL(std::string("one.example"), Arrived.VirtualHost);
    CPPUNIT_ASSERT(Arrived.CallerTimeout == 4s && Arrived.IsReplayable);
    const auto Connection = start(Arrived, 2s);
    const std::string Seen = Connection->readUntil("\r\n\r\nbody");
    CPPUNIT_ASSERT(Seen.starts_with("POST /diary/1?q=2 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Seen.find("X-Own: kept\r\n") != Seen.npos);
    CPPUNIT_ASSERT(Seen.find("Host: one.example\r\n") != Seen.npos);
    CPPUNIT_ASSERT(Seen.find("Bw-Request-Id: r1\r\n") != Seen.npos);
    CPPUNIT_ASSERT(Seen.find("Bw-Server: server-1\r\n") != Seen.npos);
    CPPUNIT_ASSERT(Seen.find("Bw-Deadline-Ms: 4000") == Seen.npos);
    CPPUNIT_ASSERT(Seen.find("X-Hop") == Seen.npos);
    Connection->write(answer("r1", "result", "X-Proof: p\r\n"));
    relay(Arrived);
    const std::string Got = Caller->readUntil("result");
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(Got.find("X-Proof: p\r\n") != Got.npos);
  }

  // Guards against opening a new connection for every request.
  void reusesConnectionsOnBothSides() {
    auto Connection = serve("r1", nullptr);
    serve("r2", Connection.get());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Forward->counters().ServerConnections.load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Forward->counters().CallerConnections.load());
  }

  // Guards against a response that is matched with the wrong request.
  void answersPipelinedRequestsInOrder() {
    Caller->write(request("r1") + request("r2"));
    const auto First = Decide->next<request_arrived>();
    const auto Second = Decide->next<request_arrived>();
    const auto FirstConnection = start(First);
    const auto SecondConnection = start(Second, 2s, "server-2");
    SecondConnection->readUntil("\r\n\r\n");
    SecondConnection->write(answer("r2", "second"));
    relay(Second);
    FirstConnection->readUntil("\r\n\r\n");
    FirstConnection->write(answer("r1", "first."));
    relay(First);
    const std::string Got = Caller->readUntil("second");
    CPPUNIT_ASSERT(Got.find("first.") < Got.find("second"));
  }

  // Guards against a server that writes an earlier refusal once more: without a
  // request id, the caller of the next request on the connection would be told
  // that it was not executed.
  void doesNotReuseServerConnectionAfterAnonymousRefusal() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write("HTTP/1.1 503 Service Unavailable\r\nBw-Not-Run: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT(Decide->next<attempt_ended>().Outcome ==
                   attempt_outcome::NotExecuted);
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
  }

  // Guards against a late response to an earlier request that is relayed as the
  // response to the next one.
  void skipsLateResponsesToOtherRequests() {
    Caller->write(request("r2"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write(answer("r1", "of another") + answer("r2", "mine"));
    relay(Arrived);
    const std::string Got = Caller->readUntil("mine");
    CPPUNIT_ASSERT(Got.find("of another") == Got.npos);
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
  }

  // Guards against bytes after a response that are read as part of the next
  // response.
  void doesNotReuseServerConnectionWithExtraBytes() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write(answer("r1", "result") + "EXTRA");
    relay(Arrived);
    Caller->readUntil("result");
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
  }

  // Guards against a request that is silently resent when a reused connection
  // breaks: a submission would be executed twice.
  void doesNotResendRequestAfterBrokenReusedConnection() {
    auto Connection = serve("r1", nullptr);
    Caller->write(request("r2", "POST", "pay"));
    const auto Arrived = Decide->next<request_arrived>();
    command(startCommand(Arrived, 2s, "server-1"));
    Connection->readUntil("pay");
    Connection->Socket.close();
    const auto Ended = Decide->next<attempt_ended>();
    CPPUNIT_ASSERT(Ended.Outcome == attempt_outcome::Broken);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Forward->counters().ServerConnections.load());
  }

  // Guards against treating a request that was never sent as possibly executed.
  void reportsRefusedConnectionAsNotSent() {
    Caller->write(request("r1", "POST", "pay"));
    const auto Arrived = Decide->next<request_arrived>();
    start_attempt Command = startCommand(Arrived, 2s, "server-1");
    Server->close();
    command(Command);
    CPPUNIT_ASSERT(Decide->next<attempt_ended>().Outcome ==
                   attempt_outcome::NotSent);
  }

  // Guards against callers that accept a truncated response as complete.
  void resetsCallerOnTruncatedResponse() {
    for (const char *Framing :
         {"Content-Length: 500000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
                                            "7A120\r\n"}) {
      Caller = std::make_unique<test_socket>();
      Caller->connect(Forward->port());
      Caller->write(request("r1"));
      const auto Arrived = Decide->next<request_arrived>();
      const auto Connection = start(Arrived);
      Connection->readUntil("\r\n\r\n");
      Connection->write(
          std::string("HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n") + Framing +
          std::string(100'000, 'x'));
      CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
      command(relay_answer{.Request = Arrived.Request,
                           .Attempt = attempt_number(1)});
      Caller->readUntil("xxx");
      Connection->Socket.close();
      CPPUNIT_ASSERT(!Decide->next<relay_ended>().IsComplete);
      while (!Caller->isClosedByPeer()) {
      }
      CPPUNIT_ASSERT(Caller->WasReset);
      // The second iteration uses a server at another address.
      Server = std::make_unique<scripted_server>();
    }
  }

  // Guards against servers that continue to process requests of disconnected
  // callers.
  void closesServerConnectionWhenCallerDisconnects() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Caller->Socket.close();
    CPPUNIT_ASSERT(Decide->next<caller_left>().Request == Arrived.Request);
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
  }

  void refusalsContainRetryAfter() {
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    command(refuse_request{.Request = Arrived.Request,
                           .Reason = refusal_reason::NoServer,
                           .RetryAfter = std::chrono::milliseconds(1500)});
    const std::string Got = Caller->readUntil("\r\n\r\n");
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Got.find("Retry-After: 2\r\n") != Got.npos);
    // The connection stays open for the next request.
    Caller->write(request("r2"));
    Decide->next<request_arrived>();
  }

  // Guards against unbounded memory use by large input, and against parsing
  // requests that follow an invalid one.
  void rejectsInvalidRequestsAndClosesConnection() {
    caller_limits Limits;
    Limits.Header = kibibytes(1);
    Limits.Body = byte_count(100);
    command(limits_changed{Limits});
    const struct {
      const char *Failure;
      std::string Bytes;
      const char *Status;
    } Cases[] = {
        {"a head above the limit is accepted",
         request("r", "GET", "", "X: " + std::string(2000, 'x') + "\r\n"),
         "431"},
        {"a body above the limit is accepted",
         request("r", "POST", std::string(101, 'x')), "413"},
        {"a chunked body above the limit is accepted",
         request("r", "POST", "", "Transfer-Encoding: chunked\r\n") + "65\r\n" +
             std::string(101, 'x') + "\r\n0\r\n\r\n",
         "413"},
        {"invalid bytes are accepted", "nonsense\r\n\r\n", "400"},
    };
    for (const auto &Case : Cases) {
      test_socket Other;
      Other.connect(Forward->port());
      Other.write(Case.Bytes + request("behind"));
      const std::string Got = Other.readUntil("\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(
          Case.Failure,
          Got.starts_with(std::string("HTTP/1.1 ") + Case.Status));
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Other.isClosedByPeer());
    }
    CPPUNIT_ASSERT(!Decide->events().tryPop());
  }

  // Guards against unbounded buffering of a long response to a slow caller, and
  // against lost or duplicated bytes.
  void streamsLongResponsesWithBackPressure() {
    constexpr std::size_t Size = 40'000'000;
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    std::string Body(Size, ' ');
    for (std::size_t Place = 0; Place < Size; ++Place)
      Body[Place] = char('a' + Place % 23);
    std::atomic<std::size_t> Written = 0;
    std::thread Writer([&] {
      const std::string Bytes = answer("r1", Body);
      constexpr std::size_t Piece = 50'000;
      for (std::size_t Place = 0; Place < Bytes.size(); Place += Piece) {
        Connection->write(Bytes.substr(Place, Piece));
        Written = Place;
      }
    });
    CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
    command(
        relay_answer{.Request = Arrived.Request, .Attempt = attempt_number(1)});
    // The caller reads nothing, so the server must block with most of the
    // response unwritten; socket buffers hold a few megabytes.
    std::size_t Before = 1;
    for (int Round = 0; Round < 100 && Before != Written; ++Round) {
      Before = Written;
      std::this_thread::sleep_for(100ms);
    }
    CPPUNIT_ASSERT(Written < Size * 3 / 4);
    std::string Got;
    while (Got.find("\r\n\r\n") == Got.npos)
      Got += Caller->readSome();
    Got.erase(0, Got.find("\r\n\r\n") + 4);
    while (Got.size() < Size)
      Got += Caller->readSome();
    Writer.join();
    CPPUNIT_ASSERT(Got == Body);
    CPPUNIT_ASSERT(Decide->next<relay_ended>().IsComplete);
  }

  // Guards against buffering a whole upload in memory.
  void streamsLongUploads() {
    const std::string Body(300'000, 'u');
    std::thread Writer([&] { Caller->write(request("r1", "POST", Body)); });
    const auto Arrived = Decide->next<request_arrived>();
    CPPUNIT_ASSERT(!Arrived.IsReplayable);
    const auto Connection = start(Arrived);
    std::string Seen = Connection->readUntil("\r\n\r\n");
    while (Seen.size() < Body.size() ||
           Seen.size() - Seen.find("\r\n\r\n") - 4 < Body.size())
      Seen += Connection->readSome();
    Writer.join();
    CPPUNIT_ASSERT(Seen.substr(Seen.find("\r\n\r\n") + 4) == Body);
    Connection->write(answer("r1", "stored"));
    relay(Arrived);
    Caller->readUntil("stored");
  }

  // Guards against planned stops that lose a request, and against idle callers
  // that keep the process from stopping.
  void plannedStopFinishesRequestsAndClosesConnections() {
    test_socket Idle;
    Idle.connect(Forward->port());
    Caller->write(request("r1"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Forward->beginStop();
    CPPUNIT_ASSERT(Idle.isClosedByPeer());
    CPPUNIT_ASSERT(!Forward->isDrained());
    Connection->write(answer("r1", "result"));
    relay(Arrived);
    const std::string Got = Caller->readUntil("result");
    CPPUNIT_ASSERT(Got.find("Connection: close\r\n") != Got.npos);
    CPPUNIT_ASSERT(Caller->isClosedByPeer());
    Caller->Socket.close();
    Idle.Socket.close();
    const time_point Limit = Clock->now() + WaitLimit;
    while (!Forward->isDrained() && Clock->now() < Limit)
      std::this_thread::sleep_for(5ms);
    CPPUNIT_ASSERT(Forward->isDrained());
  }

  // Guards against connections that are accepted late in a planned stop, send
  // no request and stay open, so that a request on them is cut at its end.
  void plannedStopClosesConnectionsWithoutRequest() {
    Forward->beginStop();
    CPPUNIT_ASSERT(Caller->isClosedByPeer());
    test_socket Late;
    Late.connect(Forward->port());
    CPPUNIT_ASSERT(Late.isClosedByPeer());
    CPPUNIT_ASSERT(!Decide->events().tryPop());
  }

  // Guards against a success with an empty or short body when a server closes
  // the connection in the middle of its response's head.
  void responseBrokenInItsHeadIsNoSuccess() {
    const std::string Whole = answer("r1", "result");
    const std::size_t HeadEnd = Whole.find("\r\n\r\n") + 4;
    for (std::size_t Size = 0; Size < HeadEnd; ++Size) {
      Caller = std::make_unique<test_socket>();
      Caller->connect(Forward->port());
      Caller->write(request("r1"));
      const auto Arrived = Decide->next<request_arrived>();
      const auto Connection = start(Arrived);
      Connection->readUntil("\r\n\r\n");
      Connection->write(Whole.substr(0, Size));
      Connection->Socket.close();
      const auto Ended = Decide->next<attempt_ended>();
      CPPUNIT_ASSERT_MESSAGE(Whole.substr(0, Size),
                             Ended.Outcome == attempt_outcome::Broken);
      command(refuse_request{.Request = Arrived.Request,
                             .Reason = refusal_reason::Unknown});
      CPPUNIT_ASSERT(
          Caller->readUntil("\r\n\r\n").starts_with("HTTP/1.1 502 "));
    }
  }

  // Guards against a success for a response without a length whose connection
  // was reset: only an orderly close ends it.
  void responseEndedByResetIsIncomplete() {
    for (const bool IsReset : {false, true}) {
      Caller = std::make_unique<test_socket>();
      Caller->connect(Forward->port());
      Caller->write(request("r1"));
      const auto Arrived = Decide->next<request_arrived>();
      const auto Connection = start(Arrived);
      Connection->readUntil("\r\n\r\n");
      Connection->write("HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n\r\npart");
      if (IsReset)
        Connection->Socket.set_option(asio::socket_base::linger(true, 0));
      Connection->Socket.close();
      CPPUNIT_ASSERT(
          Decide->next<attempt_ended>().Outcome ==
          (IsReset ? attempt_outcome::Broken : attempt_outcome::Answered));
      command(refuse_request{.Request = Arrived.Request,
                             .Reason = refusal_reason::Unknown});
      Caller->readUntil("\r\n\r\n");
    }
  }

  // Guards against a late second copy of a response on a kept connection that
  // the next caller takes for its own.
  void secondCopyOfResponseEndsIdleConnection() {
    auto Connection = serve("r1", nullptr);
    Connection->write(answer("r1", "copied"));
    CPPUNIT_ASSERT(Connection->isClosedByPeer());
    Caller->write(request("r2"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Next = start(Arrived);
    Next->readUntil("\r\n\r\n");
    Next->write(answer("r2", "result"));
    relay(Arrived);
    CPPUNIT_ASSERT(Caller->readUntil("result").find("copied") ==
                   std::string::npos);
  }

  // Guards against trailer fields of a request or response that appear in the
  // next one on the same connection, which belongs to another caller.
  void trailersReachNoOtherMessage() {
    const std::string Trailer = "0\r\nX-Time: 12\r\n\r\n";
    Caller->write("POST /diary/1 HTTP/1.1\r\nHost: one.example\r\n"
                  "Bw-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nbody\r\n" +
                  Trailer);
    const auto First = Decide->next<request_arrived>();
    const auto Connection = start(First);
    CPPUNIT_ASSERT(Connection->readUntil("\r\n\r\nbody").find("X-Time") ==
                   std::string::npos);
    Connection->write("HTTP/1.1 200 OK\r\nBw-Request-Id: r1\r\n"
                      "Transfer-Encoding: chunked\r\nTrailer: X-Time\r\n\r\n"
                      "6\r\nresult\r\n" +
                      Trailer);
    relay(First);
    CPPUNIT_ASSERT(Caller->readUntil("result").find("X-Time:") ==
                   std::string::npos);

    Caller->write(request("r2", "POST", "body"));
    const auto Second = Decide->next<request_arrived>();
    command(startCommand(Second, 2s, "server-1"));
    const std::string Sent = Connection->readUntil("\r\n\r\nbody");
    CPPUNIT_ASSERT(Sent.find("\r\n: ") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("X-Time") == Sent.npos);
    Connection->write(answer("r2", "second"));
    relay(Second);
    const std::string Got = Caller->readUntil("second");
    CPPUNIT_ASSERT(Got.find("\r\n: ") == Got.npos);
    CPPUNIT_ASSERT(Got.find("X-Time") == Got.npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Forward->counters().ServerConnections.load());
  }

  // Guards against executing a request that follows a response which closes the
  // connection: its caller sends it again on another connection.
  void ignoresRequestsAfterClosingResponse() {
    Caller->write(request("r1", "GET", "", "Connection: close\r\n") +
                  request("r2", "POST", "pay"));
    const auto Arrived = Decide->next<request_arrived>();
    const auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    Connection->write(answer("r1", "result"));
    relay(Arrived);
    Caller->readUntil("result");
    CPPUNIT_ASSERT(Caller->isClosedByPeer());
    CPPUNIT_ASSERT(!Decide->events().tryPop());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forward_service_test);
