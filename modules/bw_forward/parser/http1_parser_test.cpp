#include "bw_forward/parser/http1_parser.h"

#include "bw_testing/http/response_cases.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>
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
    {"a blank before the colon is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\nHost: a\r\nAuthorization : b\r\n\r\n"},
    {"a tab before the colon is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\nHost: a\r\nAuthorization\t: b\r\n\r\n"},
    {"a blank before the first field is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\n Authorization: b\r\nHost: a\r\n\r\n"},
    {"a blank inside a name is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\nHost: a\r\nX Y: b\r\n\r\n"},
    {"a folded value is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"},
    {"a control byte at the start of a value is accepted", http1_side::Request,
     "GET / HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n"},
    {"an unknown coding in chunks is accepted", http1_side::Request,
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n"
     "\r\n0\r\n\r\n"},
    {"a chunk longer than its length is accepted", http1_side::Request,
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nabXX0\r\n\r\n"},
    {"a hidden chunked coding is accepted", http1_side::Request,
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
     "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
};

} // namespace

class http1_parser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http1_parser_test);
  CPPUNIT_TEST(parsesPipelinedRequestsInAnySegmentation);
  CPPUNIT_TEST(stopsAtTheEndOfAMessage);
  CPPUNIT_TEST(rejectsMalformedMessages);
  CPPUNIT_TEST(readsValidResponsesInAnySegmentation);
  CPPUNIT_TEST(limitsHeadSize);
  CPPUNIT_TEST(endOfConnectionEndsABodyWithoutLength);
  CPPUNIT_TEST(endOfConnectionDoesNotCompleteAShortBody);
  CPPUNIT_TEST(aResponseToHeadHasNoBody);
  CPPUNIT_TEST(nothingOfAMessageReachesTheNext);
  CPPUNIT_TEST(limitsTrailers);
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
    for (const malformed_case &Case : MalformedCases)
      expectMalformed(Case.Side, Case.Failure, Case.Bytes);
    for (const std::span<const response_case> Cases :
         {std::span<const response_case>(BrokenStatusLines),
          std::span<const response_case>(BrokenFields),
          std::span<const response_case>(BrokenFraming),
          std::span<const response_case>(BrokenChunkExtensions)})
      for (const response_case &Case : Cases)
        expectMalformed(http1_side::Response, Case.Name, Case.Bytes);
  }

  // Guards against a check that depends on how the bytes are segmented.
  void readsValidResponsesInAnySegmentation() {
    for (const response_case &Case : ValidResponses)
      for (const std::size_t PieceSize : {1U, 2U, 7U, 1000U}) {
        message_recorder Responses(http1_side::Response);
        CPPUNIT_ASSERT_MESSAGE(Case.Name,
                               Responses.feed(Case.Bytes, PieceSize) ==
                                   parse_status::Complete);
        const parsed_message &Last = Responses.Messages.back();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::string("result"),
                                     Last.Body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::string("r1"),
                                     *Last.Head.Headers.find("Bw-Request-Id"));
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

  // Guards against fields of a trailer, or any other state of a message, that
  // appear in the next message of the connection.
  void nothingOfAMessageReachesTheNext() {
    const struct {
      const char *Form;
      std::string Bytes;
    } Forms[] = {
        {"no trailer", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
                       "0\r\n\r\n"},
        {"trailer", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
                    "0\r\nX-Time: 12\r\nX-Sum: 3\r\n\r\n"},
        {"trailer field without a value",
         "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
         "0\r\nX-Empty:\r\n\r\n"},
        {"trailer that repeats fields of a head",
         "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
         "0\r\nContent-Length: 7\r\nConnection: close\r\n\r\n"},
        {"chunk extensions", "Transfer-Encoding: chunked\r\n\r\n"
                             "2;a=b;c=\"d\"\r\nab\r\n0;e=f\r\n\r\n"},
        {"empty chunked body",
         "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Time: 1\r\n\r\n"},
        {"last field without a value", "Content-Length: 0\r\nX-Empty:\r\n\r\n"},
        {"length", "Content-Length: 2\r\n\r\nab"}};
    for (const http1_side Side : {http1_side::Request, http1_side::Response}) {
      const std::string Start = Side == http1_side::Request
                                    ? "POST /a HTTP/1.1\r\n"
                                    : "HTTP/1.1 200 OK\r\n";
      const std::string Last = Start + "X-Own: 1\r\nContent-Length: 1\r\n\r\nz";
      for (const auto &Form : Forms)
        for (const std::size_t PieceSize : {1U, 3U, 1000U}) {
          message_recorder Messages(Side);
          const std::string Message = Start + Form.Bytes;
          std::string Bytes = Message;
          Bytes.append(Message).append(Last);
          Messages.feed(Bytes, PieceSize);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Form.Form, 3, Messages.Completed);
          const parsed_message &Seen = Messages.Messages.back();
          const auto &Fields = Seen.Head.Headers.fields();
          CPPUNIT_ASSERT_EQUAL_MESSAGE(Form.Form, std::size_t(2),
                                       Fields.size());
          CPPUNIT_ASSERT_EQUAL(std::string("X-Own"), Fields[0].Name);
          CPPUNIT_ASSERT_EQUAL(std::string("Content-Length"), Fields[1].Name);
          CPPUNIT_ASSERT(Seen.Head.KeepsConnection && !Seen.Head.IsChunked);
          CPPUNIT_ASSERT_EQUAL(std::string("z"), Seen.Body);
        }
    }
  }

  // Guards against memory that grows with a trailer, and against a trailer
  // whose size is counted against the next message.
  void limitsTrailers() {
    const std::string Start = "POST /a HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    message_recorder Messages(http1_side::Request);
    Messages.Parser.setHeadLimit(kibibytes(1));
    for (int Count = 0; Count < 3; ++Count)
      CPPUNIT_ASSERT(
          Messages.feed(Start + "X-T: " + std::string(700, 'x') + "\r\n\r\n",
                        100) == parse_status::Complete);
    CPPUNIT_ASSERT(
        Messages.feed(Start + "X-T: " + std::string(2000, 'x') + "\r\n\r\n",
                      100) == parse_status::HeadTooBig);
  }

private:
  static void expectMalformed(http1_side Side, const std::string &Name,
                              const std::string &Bytes) {
    for (const std::size_t PieceSize : {1U, 2U, 7U, 1000U}) {
      message_recorder Messages(Side);
      CPPUNIT_ASSERT_MESSAGE(Name, Messages.feed(Bytes, PieceSize) ==
                                       parse_status::Malformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http1_parser_test);
