#include "bw_forward/parser/http1_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace bw;

namespace {

struct parsed_message {
  http1_head Head;
  std::string Body;
};

// Feeds bytes to a parser in pieces of a given size and records the messages.
class message_recorder {
public:
  explicit message_recorder(http1_side Side)
      : Parser(Side, {.OnHead =
                          [this](http1_head Head) {
                            Messages.push_back({.Head = std::move(Head)});
                            return HasBodies;
                          },
                      .OnBody =
                          [this](std::string_view Part) {
                            Messages.back().Body.append(Part);
                          }}) {}

  parse_status feed(std::string_view Bytes, std::size_t PieceSize) {
    parse_status Last = parse_status::NeedsMore;
    while (!Bytes.empty()) {
      std::string_view Piece = Bytes.substr(0, PieceSize);
      Bytes.remove_prefix(Piece.size());
      while (!Piece.empty()) {
        const parse_result Result = Parser.feed(Piece);
        Last = Result.Status;
        if (Last == parse_status::Malformed || Last == parse_status::HeadTooBig)
          return Last;
        Completed += Last == parse_status::Complete ? 1 : 0;
        Piece.remove_prefix(Result.Taken);
      }
    }
    return Last;
  }

  http1_parser Parser;
  std::vector<parsed_message> Messages;
  int Completed = 0;
  bool HasBodies = true;
};

struct malformed_case {
  const char *Failure;
  http1_side Side;
  const char *Bytes;
};

const malformed_case MalformedCases[] = {
    {"Content-Length together with chunked coding is accepted",
     http1_side::Request,
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
    {"conflicting Content-Length fields are accepted", http1_side::Request,
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
     "Content-Length: 5\r\n\r\n"},
    {"invalid bytes are accepted as a response", http1_side::Response,
     "\x16\x03\x01 nonsense"},
    {"a request with an unknown method is accepted", http1_side::Request,
     "FOO / HTTP/1.1\r\n\r\n"},
    {"a CONNECT request is accepted", http1_side::Request,
     "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
};

} // namespace

class http1_parser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http1_parser_test);
  CPPUNIT_TEST(parsesPipelinedRequestsInAnySegmentation);
  CPPUNIT_TEST(stopsAtTheEndOfAMessage);
  CPPUNIT_TEST(rejectsMalformedMessages);
  CPPUNIT_TEST(limitsHeadSize);
  CPPUNIT_TEST(endOfConnectionEndsABodyWithoutLength);
  CPPUNIT_TEST(endOfConnectionDoesNotCompleteAShortBody);
  CPPUNIT_TEST(aResponseToHeadHasNoBody);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against results that depend on how the byte stream is segmented.
  void parsesPipelinedRequestsInAnySegmentation() {
    const std::string Bytes =
        "GET /a?x=1 HTTP/1.1\r\nHost: one\r\nX-A: b c\r\n\r\n"
        "POST /b HTTP/1.1\r\nHost: two\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        "POST /c HTTP/1.1\r\nHost: two\r\nContent-Length: 2\r\n"
        "Connection: close\r\n\r\nxy";
    for (const std::size_t PieceSize : {1U, 2U, 7U, 1000U}) {
      message_recorder Requests(http1_side::Request);
      Requests.feed(Bytes, PieceSize);
      CPPUNIT_ASSERT_EQUAL(3, Requests.Completed);
      const auto &List = Requests.Messages;
      CPPUNIT_ASSERT_EQUAL(std::string("/a?x=1"), List[0].Head.Target);
      CPPUNIT_ASSERT_EQUAL(std::string("b c"),
                           *List[0].Head.Headers.find("x-a"));
      CPPUNIT_ASSERT(List[0].Head.KeepsConnection);
      CPPUNIT_ASSERT_EQUAL(std::string("abcde"), List[1].Body);
      CPPUNIT_ASSERT(List[1].Head.IsChunked && !List[1].Head.ContentLength);
      CPPUNIT_ASSERT_EQUAL(std::string("xy"), List[2].Body);
      CPPUNIT_ASSERT(!List[2].Head.KeepsConnection);
    }
  }

  // Guards against bytes after a response being parsed as part of the next one.
  void stopsAtTheEndOfAMessage() {
    message_recorder Responses(http1_side::Response);
    const std::string First = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string Bytes = First + "EXTRA";
    const parse_result Result = Responses.Parser.feed(Bytes);
    CPPUNIT_ASSERT(Result.Status == parse_status::Complete);
    CPPUNIT_ASSERT_EQUAL(First.size(), Result.Taken);
    CPPUNIT_ASSERT(!Responses.Parser.isInMessage());
  }

  void rejectsMalformedMessages() {
    for (const malformed_case &Case : MalformedCases) {
      message_recorder Messages(Case.Side);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Messages.feed(Case.Bytes, 1000) ==
                                               parse_status::Malformed);
    }
  }

  // Guards against unbounded memory use by large heads.
  void limitsHeadSize() {
    message_recorder Requests(http1_side::Request);
    Requests.Parser.setHeadLimit(kibibytes(1));
    CPPUNIT_ASSERT(Requests.feed("GET / HTTP/1.1\r\nHost: a\r\nX: " +
                                     std::string(2000, 'x') + "\r\n\r\n",
                                 100) == parse_status::HeadTooBig);
  }

  // Guards against a response without a length that is never completed.
  void endOfConnectionEndsABodyWithoutLength() {
    message_recorder Responses(http1_side::Response);
    Responses.feed("HTTP/1.1 200 OK\r\n\r\nall of it", 5);
    CPPUNIT_ASSERT_EQUAL(0, Responses.Completed);
    CPPUNIT_ASSERT(Responses.Parser.finish() == parse_status::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), Responses.Messages[0].Body);
  }

  // Guards against a truncated response being reported as complete.
  void endOfConnectionDoesNotCompleteAShortBody() {
    for (const char *Head :
         {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
          "HTTP/1.1 200 OK\r\nContent-Le"}) {
      message_recorder Responses(http1_side::Response);
      Responses.feed(Head, 1000);
      CPPUNIT_ASSERT(Responses.Parser.finish() == parse_status::Malformed);
    }
  }

  // Guards against waiting for a body that is never sent.
  void aResponseToHeadHasNoBody() {
    message_recorder Responses(http1_side::Response);
    Responses.HasBodies = false;
    Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 1000);
    CPPUNIT_ASSERT_EQUAL(1, Responses.Completed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http1_parser_test);
