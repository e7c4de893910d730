// Tests the forward service with requests of customers over loopback sockets.

#include "bw_forward/service/forward_test_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

struct refusal_case {
  refusal_reason Reason;
  std::optional<duration> RetryAfter;
  const char *StatusLine;
  bool HasRetryAfter;
  bool HasChallenge;
};

const refusal_case RefusalCases[] = {
    {refusal_reason::Unauthenticated, std::nullopt,
     "HTTP/1.1 401 Unauthorized\r\n", false, true},
    {refusal_reason::OverAllowance, 400ms, "HTTP/1.1 429 Too Many Requests\r\n",
     true, false},
    {refusal_reason::ConfigurationStale, 400ms,
     "HTTP/1.1 503 Service Unavailable\r\n", true, false},
    {refusal_reason::NoConfiguration, 400ms,
     "HTTP/1.1 503 Service Unavailable\r\n", true, false},
    {refusal_reason::NoRoute, std::nullopt, "HTTP/1.1 404 Not Found\r\n", false,
     false},
};

} // namespace

class customer_requests_test : public forward_test_fixture {
  CPPUNIT_TEST_SUITE(customer_requests_test);
  CPPUNIT_TEST(refusalsTellWhatTheCallerMayDo);
  CPPUNIT_TEST(decisionsGetTheDigestOfTheKey);
  CPPUNIT_TEST(serversGetTheNameInPlaceOfTheKey);
  CPPUNIT_TEST(trailersNameNoCustomer);
  CPPUNIT_TEST(requestsPassUnchangedWithoutCustomers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a caller that repeats a request with a refused key, or that
  // gives up although its request may be served later. The connection stays
  // usable.
  void refusalsTellWhatTheCallerMayDo() {
    for (const refusal_case &Case : RefusalCases) {
      const std::string Name(refusalName(Case.Reason));
      Caller->write(request("r-" + Name));
      const auto Arrived = Decide->next<request_arrived>();
      command(refuse_request{.Request = Arrived.Request,
                             .Reason = Case.Reason,
                             .RetryAfter = Case.RetryAfter});
      const std::string Got = Caller->readUntil("\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Name, Got.starts_with(Case.StatusLine));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Case.HasRetryAfter,
                                   Got.find("\r\nRetry-After: 1\r\n") !=
                                       Got.npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Case.HasRetryAfter,
                                   Got.find("Retry-After") != Got.npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Name, Case.HasChallenge,
          Got.find("\r\nWWW-Authenticate: Bearer\r\n") != Got.npos);
      CPPUNIT_ASSERT_MESSAGE(Name,
                             Got.find("\r\nContent-Length: 0\r\n") != Got.npos);
    }
  }

  // Guards against a key that gets beyond the thread of the connections.
  void decisionsGetTheDigestOfTheKey() {
    Caller->write(
        request("r1", "GET", "", "authorization:  bearer \t secret-1 \r\n"));
    CPPUNIT_ASSERT(Decide->next<request_arrived>().Key ==
                   (presented_key{.Presence = key_presence::Present,
                                  .Digest = key_digest::of("secret-1")}));
    Caller->write(request("r2", "GET", "", "Authorization: Basic x\r\n"));
    CPPUNIT_ASSERT(Decide->next<request_arrived>().Key ==
                   presented_key{.Presence = key_presence::OtherScheme});
    Caller->write(request("r3"));
    CPPUNIT_ASSERT(Decide->next<request_arrived>().Key == presented_key{});
  }

  // Guards against keys that reach servers, also with the later attempts of a
  // request and on connections that are used again.
  void serversGetTheNameInPlaceOfTheKey() {
    Caller->write(
        request("r1", "POST", "body",
                "Authorization: Bearer secret-1\r\nBw-Customer: forged\r\n"
                "BW-CUSTOMER: forged\r\n"));
    const auto Arrived = Decide->next<request_arrived>();
    for (const std::uint32_t Attempt : {1, 2}) {
      start_attempt Command =
          startCommand(Arrived, 2s, "server-" + std::to_string(Attempt));
      Command.Attempt = attempt_number(Attempt);
      Command.Customer = forwarded_customer{.Name = customer_id("county")};
      command(Command);
      const auto Connection = Server->accept();
      checkSent(Connection->readUntil("\r\n\r\nbody"));
    }
  }

  // Guards against a trailer field that a server adds to the head.
  void trailersNameNoCustomer() {
    Caller->write("POST /diary/1 HTTP/1.1\r\nHost: one.example\r\n"
                  "Authorization: Bearer secret-1\r\n"
                  "Transfer-Encoding: chunked\r\nTrailer: Bw-Customer\r\n\r\n"
                  "4\r\nbody\r\n0\r\nBw-Customer: forged\r\n"
                  "Authorization: Bearer secret-1\r\n\r\n");
    const auto Arrived = Decide->next<request_arrived>();
    start_attempt Command = startCommand(Arrived, 2s, "server-1");
    Command.Customer = forwarded_customer{.Name = customer_id("county")};
    command(Command);
    checkSent(Server->accept()->readUntil("\r\n\r\nbody"));
  }

  // Guards against a change for deployments that name no customers, whose
  // servers may check credentials themselves.
  void requestsPassUnchangedWithoutCustomers() {
    const std::string Fields =
        "Authorization: Basic dTpw\r\nBw-Customer: own-use\r\n";
    Caller->write(request("r1", "GET", "", Fields));
    const auto Arrived = Decide->next<request_arrived>();
    const std::string Sent = start(Arrived)->readUntil("\r\n\r\n");
    CPPUNIT_ASSERT(Sent.find(Fields) != Sent.npos);
  }

private:
  static void checkSent(const std::string &Sent) {
    CPPUNIT_ASSERT(Sent.find("\r\nBw-Customer: county\r\n") != Sent.npos);
    CPPUNIT_ASSERT(Sent.find("secret") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("forged") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("Authorization") == Sent.npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_requests_test);
