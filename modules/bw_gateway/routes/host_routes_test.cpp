#include "bw_gateway/routes/host_routes.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

struct find_case {
  const char *Failure;
  const char *VirtualHost;
  const char *Path;
  /// Prefix of the expected route; null for none.
  const char *Expected;
};

const find_case FindCases[] = {
    {"path below a prefix misses it", "one.example", "/a/page", "/a/"},
    {"prefix itself misses its route", "one.example", "/a/", "/a/"},
    {"shorter prefix wins over a longer one", "one.example", "/a/b/c", "/a/b/"},
    {"prefix without its last slash matches", "one.example", "/a", nullptr},
    {"prefix matches part of a path segment", "one.example", "/ab/c", nullptr},
    {"route of another virtual host is used", "two.example", "/a/page",
     nullptr},
    {"own route of a virtual host is missed", "two.example", "/z/1", "/z/"},
    {"unknown virtual host gets a route", "three.example", "/a/", nullptr},
    {"path without slash gets a route", "one.example", "a", nullptr},
    {"empty path gets a route", "one.example", "", nullptr},
};

gateway_route routeTo(const char *VirtualHost, const char *Prefix) {
  return {.Id = route_id(std::string(VirtualHost) + Prefix),
          .VirtualHost = VirtualHost,
          .Prefix = Prefix,
          .Destinations = {{.Service = service_id("diary")}}};
}

} // namespace

class host_routes_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_routes_test);
  CPPUNIT_TEST(findsTheLongestPrefixOfTheHost);
  CPPUNIT_TEST(rootPrefixTakesTheRest);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against sending requests to a service that no route allows.
  void findsTheLongestPrefixOfTheHost() {
    const gateway_configuration Configuration{
        .Routes = {routeTo("one.example", "/a/"),
                   routeTo("one.example", "/a/b/"),
                   routeTo("two.example", "/z/")}};
    const host_routes Routes(Configuration);
    for (const find_case &Case : FindCases) {
      const gateway_route *Found = Routes.find(Case.VirtualHost, Case.Path);
      if (Case.Expected == nullptr) {
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, Found == nullptr);
      } else {
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, Found != nullptr);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Expected),
                                     Found->Prefix);
      }
    }
  }

  // Guards against a root route that never matches.
  void rootPrefixTakesTheRest() {
    const gateway_configuration Configuration{
        .Routes = {routeTo("one.example", "/")}};
    const host_routes Routes(Configuration);
    CPPUNIT_ASSERT(Routes.find("one.example", "/x/y") != nullptr);
    CPPUNIT_ASSERT(Routes.find("one.example", "/x") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_routes_test);
