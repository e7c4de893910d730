// Tests that an answer which breaks the grammar of HTTP/1.1, or whose
// connection was reset, is one outcome, known at once: the attempt is broken,
// and the request may have run.

#include "bw_forward/service/forward_test_fixture.h"
#include "bw_testing/http/response_cases.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>
#include <thread>

#include <sys/ioctl.h>

using namespace bw;
using namespace std::chrono_literals;

class broken_answers_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(broken_answers_test);
  CPPUNIT_TEST(brokenStatusLinesAreNoAnswer);
  CPPUNIT_TEST(brokenFieldsAreNoAnswer);
  CPPUNIT_TEST(brokenFramingIsNoAnswer);
  CPPUNIT_TEST(validAnswersPass);
  CPPUNIT_TEST(bodilessAnswersEndWithTheirHead);
  CPPUNIT_TEST(brokenFramingOfARelayedAnswerResetsTheCaller);
  CPPUNIT_TEST(resetDuringAnUploadEndsNoAnswer);
  CPPUNIT_TEST(resetDuringAnUploadAbortsARelayedAnswer);
  CPPUNIT_TEST(earlyAnswerThatEndsInOrderIsComplete);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a response without a valid status that is relayed, or that
  // is taken for an interim one, so that its request waits until its deadline.
  void brokenStatusLinesAreNoAnswer() { expectBroken(BrokenStatusLines); }

  // Guards against fields that callers or servers interpret differently than
  // this host, and against a body of another length than the server's.
  void brokenFieldsAreNoAnswer() { expectBroken(BrokenFields); }

  // Guards against a body that is not the server's: cut, extended or encoded.
  void brokenFramingIsNoAnswer() {
    expectBroken(BrokenFraming);
    expectBroken(BrokenChunkExtensions);
  }

  // Guards against a check that refuses what the grammar allows, or what it
  // lets a recipient accept.
  void validAnswersPass() {
    std::string Failed;
    for (const response_case &Case : ValidResponses) {
      const auto Arrived = request("r1", "GET");
      const auto Connection = answerWith(Arrived, Case.Bytes);
      const auto Ended = nextEnd();
      if (!Ended || Ended->Outcome != attempt_outcome::Answered ||
          Ended->Bytes != byte_count(6)) {
        Failed += std::string(Case.Name) + "; ";
        continue;
      }
      command(
          relay_answer{.Request = Arrived.Request, .Attempt = Ended->Attempt});
      if (Caller->readUntil("result").empty())
        Failed += std::string(Case.Name) + " (not relayed); ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Failed);
  }

  // Guards against waiting for a body that no response of this kind has.
  void bodilessAnswersEndWithTheirHead() {
    const struct {
      const char *Method;
      const char *Status;
      const char *Lines;
    } Cases[] = {{"GET", "204 No Content", ""},
                 {"GET", "204 No Content", "Content-Length: 6\r\n"},
                 {"GET", "304 Not Modified", "Content-Length: 6\r\n"},
                 {"GET", "304 Not Modified", ""},
                 {"HEAD", "200 OK", "Content-Length: 6\r\n"},
                 {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\n"}};
    std::string Failed;
    for (const auto &Case : Cases) {
      const auto Arrived = request("r1", Case.Method);
      const auto Connection = answerWith(
          Arrived, std::string("HTTP/1.1 ") + Case.Status +
                       "\r\nBw-Request-Id: r1\r\n" + Case.Lines + "\r\n");
      const auto Ended = nextEnd();
      if (!Ended || !Ended->IsComplete || Ended->Bytes != byte_count())
        Failed += std::string(Case.Method) + " " + Case.Status + " " +
                  Case.Lines + "; ";
      finish(Arrived);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Failed);
  }

  // Guards against a success for a long answer whose framing breaks after a
  // part of it was relayed.
  void brokenFramingOfARelayedAnswerResetsTheCaller() {
    const auto Arrived = request("r1", "GET");
    const auto Connection =
        answerWith(Arrived, chunked("186a0\r\n" + std::string(100'000, 'x')));
    CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
    command(
        relay_answer{.Request = Arrived.Request, .Attempt = attempt_number(1)});
    Caller->readUntil("xxx");
    Connection->write("XX0\r\n\r\n");
    CPPUNIT_ASSERT(!Decide->next<relay_ended>().IsComplete);
    expectCallerCut();
    CPPUNIT_ASSERT(Caller->WasReset);
  }

  // Guards against a reset that a pending write takes note of, so that the end
  // of the connection looks like an orderly one and ends the answer.
  void resetDuringAnUploadEndsNoAnswer() {
    for (const bool HasLinger : {true, false}) {
      expectUpload(
          [&](const request_arrived &Arrived, test_socket &Connection) {
            Connection.write(framed("", "part"));
            reset(Connection, HasLinger);
            const auto Ended = nextEnd();
            CPPUNIT_ASSERT(Ended && Ended->Outcome == attempt_outcome::Broken);
            command(refuse_request{.Request = Arrived.Request,
                                   .Reason = refusal_reason::Unknown});
            CPPUNIT_ASSERT(
                Caller->readUntil("\r\n\r\n").starts_with("HTTP/1.1 502 "));
          });
    }
  }

  // The same for an answer of which a part was relayed.
  void resetDuringAnUploadAbortsARelayedAnswer() {
    expectUpload([&](const request_arrived &Arrived, test_socket &Connection) {
      Connection.write(framed("", std::string(100'000, 'x')));
      CPPUNIT_ASSERT(!Decide->next<attempt_ended>().IsComplete);
      command(relay_answer{.Request = Arrived.Request,
                           .Attempt = attempt_number(1)});
      Caller->readUntil("xxx");
      reset(Connection, true);
      CPPUNIT_ASSERT(!Decide->next<relay_ended>().IsComplete);
      expectCallerCut();
    });
  }

  // Guards against an answer that is thrown away because the server ended it
  // before it had read the request.
  void earlyAnswerThatEndsInOrderIsComplete() {
    expectUpload([&](const request_arrived &Arrived, test_socket &Connection) {
      Connection.write(framed("", "result"));
      Connection.Socket.shutdown(asio::ip::tcp::socket::shutdown_send);
      const auto Ended = nextEnd();
      CPPUNIT_ASSERT(Ended && Ended->Outcome == attempt_outcome::Answered);
      command(
          relay_answer{.Request = Arrived.Request, .Attempt = Ended->Attempt});
      CPPUNIT_ASSERT(Caller->readUntil("result").starts_with("HTTP/1.1 200 "));
    });
  }

private:
  request_arrived request(const std::string &Label, const std::string &Method) {
    Caller = std::make_unique<test_socket>();
    Caller->connect(Forward->port());
    Caller->write(bw::request(Label, Method));
    return Decide->next<request_arrived>();
  }

  std::unique_ptr<test_socket> answerWith(const request_arrived &Arrived,
                                          const std::string &Bytes) {
    Server = std::make_unique<scripted_server>();
    auto Connection = start(Arrived);
    Connection->readUntil("\r\n\r\n");
    asio::error_code Ignored;
    asio::write(Connection->Socket, asio::buffer(Bytes), Ignored);
    return Connection;
  }

  /// The next event, if it is the end of an attempt.
  std::optional<attempt_ended> nextEnd() {
    const auto Event = Decide->events().pop(Clock->now() + EndLimit);
    if (!Event || !std::holds_alternative<attempt_ended>(*Event))
      return std::nullopt;
    return std::get<attempt_ended>(*Event);
  }

  /// The server keeps its connection open, so the outcome does not come from
  /// its end.
  void expectBroken(std::span<const response_case> Cases) {
    std::string Failed;
    for (const response_case &Case : Cases) {
      const auto Arrived = request("r1", "POST");
      const auto Connection = answerWith(Arrived, Case.Bytes);
      const auto Ended = nextEnd();
      if (!Ended)
        Failed += std::string(Case.Name) + " (no outcome); ";
      else if (Ended->Outcome != attempt_outcome::Broken)
        Failed += std::string(Case.Name) + "; ";
      finish(Arrived);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Failed);
  }

  void finish(const request_arrived &Arrived) {
    command(refuse_request{.Request = Arrived.Request,
                           .Reason = refusal_reason::Unknown});
    Caller->readUntil("\r\n\r\n");
    Decide->events().tryPop();
  }

  /// Plays a server's part while a caller uploads more than all buffers hold.
  template <typename Play> void expectUpload(const Play &PlayServer) {
    Caller = std::make_unique<test_socket>();
    Caller->connect(Forward->port());
    Server = std::make_unique<scripted_server>();
    const std::string Body(mebibytes(32).value(), 'u');
    std::thread Writer([&] {
      asio::error_code Ignored;
      asio::write(Caller->Socket, asio::buffer(bw::request("r1", "POST", Body)),
                  Ignored);
    });
    try {
      const auto Arrived = Decide->next<request_arrived>();
      const auto Connection = start(Arrived, 20s);
      Connection->readUntil("\r\n\r\n");
      waitUntilWriteBlocks(*Connection);
      PlayServer(Arrived, *Connection);
    } catch (...) {
      asio::error_code Ignored;
      Caller->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
      Writer.join();
      throw;
    }
    asio::error_code Ignored;
    Caller->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Writer.join();
    while (Decide->events().tryPop()) {
    }
  }

  /// Waits until the bytes that the host has sent no longer grow.
  void waitUntilWriteBlocks(test_socket &Connection) {
    int Before = -1;
    int Unread = 0;
    while (Before != Unread) {
      Before = Unread;
      std::this_thread::sleep_for(100ms);
      CPPUNIT_ASSERT(
          ::ioctl(Connection.Socket.native_handle(), FIONREAD, &Unread) == 0);
    }
  }

  /// A close with unread bytes resets the connection as well.
  static void reset(test_socket &Connection, bool HasLinger) {
    if (HasLinger)
      Connection.Socket.set_option(asio::socket_base::linger(true, 0));
    Connection.Socket.close();
  }

  /// The caller's own writes may take the error of the reset, so a caller that
  /// writes knows only that the last chunk is missing.
  void expectCallerCut() {
    std::string Rest;
    for (std::string Part = Caller->readSome(); !Part.empty();
         Part = Caller->readSome())
      Rest += Part;
    CPPUNIT_ASSERT(!Rest.ends_with("\r\n0\r\n\r\n"));
  }

  /// Far below the deadline of the requests.
  static constexpr duration EndLimit = 1s;
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answers_test);
