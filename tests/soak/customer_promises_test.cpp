// The checker must find planted violations of what is promised to customers,
// and none in a calm course of events.

#include "tests/soak/promise_checker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

const host_id Host("h1");
const service_id Service("records");
const std::string Field = promise_bounds{}.CustomerField;

struct promise_case {
  const char *Course;
  std::string Key;
  bool IsPublic;
  duration AskedAt;
  /// Fields that the server gets; none if the host answers 401.
  std::optional<http_headers> Fields;
  /// The setting says that withdrawn keys must not run after 5 s.
  bool HasRevocation;
  const char *Found;
};

const http_headers County{{Field, "county"}};
const http_headers State{{Field, "state"}};

// The key "old" was withdrawn for "new" at 20 s; the host is in touch until
// 30 s.
const promise_case PromiseCases[] = {
    {"served", "state-key", false, 10s, State, true, ""},
    {"public without a key", "", true, 10s, http_headers{}, true, ""},
    {"public with a key", "state-key", true, 10s, State, true, ""},
    {"no name", "state-key", false, 10s, http_headers{}, true, "CUSTOMER "},
    {"another name", "state-key", false, 10s, County, true, "CUSTOMER "},
    {"two names", "state-key", false, 10s,
     http_headers{{Field, "state"}, {Field, "state"}}, true, "CUSTOMER "},
    {"name in another case of the field", "state-key", true, 10s,
     http_headers{{"bw-customer", "county"}}, true, "CUSTOMER "},
    {"public under a made-up name", "", true, 10s, County, true, "CUSTOMER "},
    {"no key", "", false, 10s, http_headers{}, true, "CUSTOMER "},
    {"key in its field", "state-key", false, 10s,
     http_headers{{Field, "state"}, {"Authorization", "Bearer state-key"}},
     true, "KEY "},
    {"key of another in any field", "state-key", false, 10s,
     http_headers{{Field, "state"}, {"X-Old", "old"}}, true, "KEY "},
    {"withdrawn before the bound", "old", false, 21s, County, true, ""},
    {"withdrawn after the bound", "old", false, 26s, County, true, "REVOKED "},
    {"withdrawn, host out of touch, after the bound", "old", false, 40s, County,
     true, "REVOKED "},
    {"withdrawn, host out of touch, no bound", "old", false, 40s, County, false,
     ""},
    {"withdrawn, host in touch, no bound", "old", false, 24s, County, false,
     "REVOKED "},
    {"withdrawn on a public route", "old", true, 40s, http_headers{}, true, ""},
    {"withdrawn and refused", "old", false, 21s, std::nullopt, true, ""},
    {"valid from the start and refused", "state-key", false, 40s, std::nullopt,
     true, "REFUSED "},
    {"new and refused at first", "new", false, 21s, std::nullopt, true, ""},
    {"new and refused later", "new", false, 24s, std::nullopt, true,
     "REFUSED "},
    {"new and refused by a host out of touch", "new", false, 40s, std::nullopt,
     true, ""},
    {"public and refused", "", true, 40s, std::nullopt, true, "REFUSED "},
};

} // namespace

class customer_promises_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_promises_test);
  CPPUNIT_TEST(findsWhatIsNotPromised);
  CPPUNIT_TEST_SUITE_END();

public:
  void findsWhatIsNotPromised() {
    for (const promise_case &Case : PromiseCases) {
      promise_bounds Bounds;
      if (Case.HasRevocation)
        Bounds.Revocation = 5s;
      promise_checker Checker(Bounds);
      Checker.hostStarted(Host, at(0s));
      Checker.hostDisturbed(Host, at(30s), at(100s));
      Checker.keyWritten("state-key", customer_id("state"), {});
      Checker.keyWritten("old", customer_id("county"), {});
      Checker.keyWritten("new", customer_id("county"), at(20s));
      Checker.keyWithdrawn("old", at(20s));
      const request_label Label("r1");
      Checker.asked({.Label = Label,
                     .Host = Host,
                     .Key = Case.Key,
                     .IsPublic = Case.IsPublic,
                     .IsRepeatable = true,
                     .Services = {Service},
                     .At = at(Case.AskedAt)});
      if (Case.Fields)
        Checker.arrived({.Server = backend_server_id("s1"),
                         .Service = Service,
                         .Label = Label,
                         .Headers = *Case.Fields,
                         .At = at(Case.AskedAt)});
      else
        Checker.answered({.Label = Label,
                          .Status = 401,
                          .IsComplete = true,
                          .At = at(Case.AskedAt)});
      std::string Found;
      for (const violation &Each : Checker.violations())
        Found += Each.Promise + " ";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Course, std::string(Case.Found), Found);
    }
  }

private:
  static time_point at(duration Time) { return time_point(100s + Time); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_promises_test);
