// Tests which fields of a caller's request reach a server, from the bytes of
// the caller to the bytes for the server.

#include "bw_forward/callers/authorization_field.h"
#include "bw_forward/servers/relay_headers.h"
#include "bw_forward/servers/server_attempt.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const std::string Secret = "secret-key-1";
const std::string Forged = "forged-name";
const std::string Field = "Authorization: Bearer " + Secret + "\r\n";

struct customer_case {
  const char *Failure;
  /// Header fields of the caller.
  std::string Fields;
  /// What the attempt says of the customer; null if nothing.
  const char *Name;
  /// Neither key nor forged name may be found, and only the host's name.
  bool IsStripped = true;
};

const customer_case CustomerCases[] = {
    {"a server gets the key", Field, "county"},
    {"a server gets a key in another case",
     "aUTHORIZATION: bEARER " + Secret + "\r\n", "county"},
    {"a server gets the second of two keys",
     Field + "X-Other: 1\r\nauthorization: Bearer " + Secret + "\r\n",
     "county"},
    {"a server gets the key of a public route", Field, ""},
    {"a server gets a key of another scheme",
     "Authorization: Basic " + Secret + "\r\n", "county"},
    {"a server gets a key in a folded field",
     "Authorization: Bearer\r\n  " + Secret + "\r\n", "county"},
    {"a caller names itself", "Bw-Customer: " + Forged + "\r\n", "county"},
    {"a caller names itself in another case", "bw-CUSTOMER: " + Forged + "\r\n",
     "county"},
    {"a caller names itself several times",
     "Bw-Customer: " + Forged + "\r\nX-Other: 1\r\nBw-Customer: " + Forged +
         "2\r\n",
     "county"},
    {"a caller without a key names itself", "Bw-Customer: " + Forged + "\r\n",
     ""},
    {"a caller gives its name for one hop",
     "Bw-Customer: " + Forged + "\r\nConnection: Bw-Customer\r\n", "county"},
    {"a caller gives its key for one hop",
     Field + "Connection: close, Authorization\r\n", "county"},
    {"a caller removes the host's name for one hop",
     "Connection: bw-customer\r\n", "county"},
    {"a blank before the colon hides the key",
     "Authorization : Bearer " + Secret + "\r\n", "county"},
    {"a tab before the colon hides the key",
     "Authorization\t: Bearer " + Secret + "\r\n", "county"},
    {"a blank before the colon hides a name",
     "Bw-Customer : " + Forged + "\r\n", "county"},
    {"a blank in front hides a name", " Bw-Customer: " + Forged + "\r\n",
     "county"},
    {"a tab in front hides a name", "\tBw-Customer: " + Forged + "\r\n",
     "county"},
    {"a line feed in a value adds a name",
     "X-Other: 1\nBw-Customer: " + Forged + "\r\n", "county"},
    {"a carriage return in a value adds a name",
     "X-Other: 1\rBw-Customer: " + Forged + "\r\n", "county"},
    {"a trailer names a customer",
     "Transfer-Encoding: chunked\r\nTrailer: Bw-Customer\r\n\r\n2\r\nab\r\n0"
     "\r\nBw-Customer: " +
         Forged + "\r\nAuthorization: Bearer " + Secret + "\r\n",
     "county"},
    {"credentials are dropped where no customers are named", Field, nullptr,
     false},
    {"a caller's field is dropped where no customers are named",
     "Bw-Customer: " + Forged + "\r\n", nullptr, false},
};

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == Text.npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

// Values of a field as a lenient server reads them: any line break ends a
// field, and blanks around a name are dropped.
std::vector<std::string> valuesOf(std::string_view Text,
                                  std::string_view Name) {
  std::vector<std::string> Result;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find_first_of("\r\n"), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const std::size_t Colon = Line.find(':');
    if (Colon != Line.npos &&
        equalsIgnoringCase(trim(Line.substr(0, Colon)), Name))
      Result.emplace_back(trim(Line.substr(Colon + 1)));
  }
  return Result;
}

// The request for the server; nothing if the caller's bytes are refused.
std::optional<std::string> forwarded(const std::string &Fields,
                                     const char *Name) {
  auto Exchange = std::make_shared<caller_exchange>();
  http1_parser Parser(
      http1_side::Request,
      {.OnHead =
           [&](http1_head Head) {
             Exchange->Head = std::move(Head);
             return true;
           },
       .OnBody = [&](std::string_view Part) { Exchange->Body += Part; }});
  const std::string Bytes = "POST /a HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
  if (Parser.feed(Bytes).Status != parse_status::Complete)
    return std::nullopt;
  server_attempt Attempt;
  Attempt.Server = backend_server_id("server-1");
  Attempt.Exchange = Exchange;
  if (Name != nullptr)
    Attempt.Customer = forwarded_customer{.Name = customer_id(Name)};
  return encodeRequest(Attempt, relay_headers{}, 2s);
}

} // namespace

class message_encoding_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_encoding_test);
  CPPUNIT_TEST(serversGetTheNameAndNeverTheKey);
  CPPUNIT_TEST(otherFieldsStayAsTheyAre);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against keys that leave the host, and against a customer that a
  // caller makes up.
  void serversGetTheNameAndNeverTheKey() {
    for (const customer_case &Case : CustomerCases) {
      const auto Sent = forwarded(Case.Fields, Case.Name);
      if (!Case.IsStripped) {
        CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                               Sent && Sent->find(Case.Fields) != Sent->npos);
        continue;
      }
      // A head that cannot be read for certain may be refused as a whole.
      if (!Sent)
        continue;
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Sent->find(Secret) == Sent->npos);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                             valuesOf(*Sent, AuthorizationField).empty());
      std::vector<std::string> Names;
      if (*Case.Name != '\0')
        Names = {Case.Name};
      CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                             valuesOf(*Sent, "Bw-Customer") == Names);
    }
  }

  // Guards against a change of requests beyond key and name.
  void otherFieldsStayAsTheyAre() {
    const std::string Own = "X-Own: Bearer a\r\nX-Customer: b\r\n";
    const auto Sent = forwarded(Own + Field, "county");
    CPPUNIT_ASSERT(Sent && Sent->find(Own) != Sent->npos);
    CPPUNIT_ASSERT(Sent->starts_with("POST /a HTTP/1.1\r\nHost: h\r\n"));
    CPPUNIT_ASSERT(Sent->find("Bw-Server: server-1\r\n") != Sent->npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_encoding_test);
