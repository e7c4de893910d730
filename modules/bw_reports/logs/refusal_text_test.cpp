#include "bw_reports/logs/refusal_text.h"
#include "bw_reports/logs/request_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace bw;

namespace {

struct refusal_case {
  /// Fields of the line after the request's label.
  const char *Fields;
  const char *Text;
};

const refusal_case RefusalCases[] = {
    {R"(reason=unauthenticated customer="" key=absent version=7)",
     "401: it has no Authorization field; configuration version 7."},
    {R"(reason=unauthenticated customer="" key=present version=7)",
     "401: no customer of the configuration in force has its key; "
     "configuration version 7."},
    {R"(reason=unauthenticated customer="" key=repeated version=7)",
     "401: it has several Authorization fields; configuration version 7."},
    {R"(reason=unauthenticated customer="" key=other_scheme version=7)",
     "401: its Authorization field has another scheme than Bearer; "
     "configuration version 7."},
    {R"(reason=unauthenticated customer="" key=empty version=7)",
     "401: its key is empty or contains blanks; configuration version 7."},
    {R"(reason=unauthenticated customer="" key=too_long version=7)",
     "401: its key is longer than 512 bytes; configuration version 7."},
    {R"(reason=unauthenticated version=7)",
     "401: its key is not known; configuration version 7."},
    {R"(reason=over_allowance customer=county key=present version=7)",
     "429: the customer has used its allowance; customer county; "
     "configuration version 7."},
    {R"(reason=configuration_stale customer="county office" key=present )"
     R"(version=7)",
     "503: the host could not show that its configuration is recent enough to "
     "trust the key; customer county office; configuration version 7."},
    {R"(reason=no_configuration customer="" key=present version=0)",
     "503: the host knew no configuration yet, so it could check neither route "
     "nor key."},
    {R"(reason=no_server customer=county version=7)",
     "503: no server of the service could take it in time; customer county; "
     "configuration version 7."},
    {R"(reason=invented customer=county version=7)", ""},
};

} // namespace

class refusal_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(refusal_text_test);
  CPPUNIT_TEST(saysWhyARequestWasRefused);
  CPPUNIT_TEST(theStoryEndsWithTheReason);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against operators who cannot tell a customer why it was refused.
  void saysWhyARequestWasRefused() {
    for (const refusal_case &Case : RefusalCases) {
      const auto Record = parseLogLine(line(Case.Fields));
      CPPUNIT_ASSERT_MESSAGE(Case.Fields, Record.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Fields, std::string(Case.Text),
                                   refusalText(*Record));
    }
  }

  // Guards against an explanation that `bwctl explain` does not print.
  void theStoryEndsWithTheReason() {
    request_story Story("r1");
    std::istringstream Input(
        line(R"(reason=unauthenticated customer="" key=empty age_ms=0)") +
        "\n");
    Story.read(Input, "h1.log");
    CPPUNIT_ASSERT_EQUAL(
        std::string("Answered by the host itself after 0 ms: unauthenticated.\n"
                    "401: its key is empty or contains blanks."),
        Story.conclusion());
    request_story Unknown("r1");
    std::istringstream Other(line("reason=invented age_ms=3") + "\n");
    Unknown.read(Other, "h1.log");
    CPPUNIT_ASSERT_EQUAL(
        std::string("Answered by the host itself after 3 ms: invented."),
        Unknown.conclusion());
  }

private:
  static std::string line(const std::string &Fields) {
    return "2026-08-08T15:12:15.100Z host=h1 BW1100 request_refused "
           "request=r1 " +
           Fields;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_text_test);
