#include "bw_routing/routes/route_table.h"

#include "bw_core/random/random_source.h"
#include "bw_routing/routing_error.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

route routeTo(const std::string &Prefix) {
  return {.Id = route_id(Prefix), .Prefix = Prefix};
}

struct find_case {
  const char *Failure;
  const char *Path;
  /// Prefix of the expected route; null for none.
  const char *Expected;
};

const find_case FindCases[] = {
    {"exact path does not match its route", "/diary", "/diary"},
    {"longer path does not match its route", "/diary/pages/7", "/diary/pages"},
    {"shorter prefix wins over a longer one", "/diary/pages", "/diary/pages"},
    {"text prefix taken for a path prefix", "/diary-old", nullptr},
    {"text prefix taken for a path prefix", "/diary/pagesize", "/diary"},
    {"trailing slash hides the route", "/diary/", "/diary"},
    {"trailing slash in the table hides the route", "/survey/x", "/survey/"},
    {"deep path does not match the deepest prefix", "/a/b/c/d/e/f", "/a/b/c/d"},
    {"levels without a route hide the route above", "/a/b/c", "/a"},
    {"unknown path gets a route", "/unknown", nullptr},
    {"path without slash gets a route", "diary", nullptr},
    {"empty path gets a route", "", nullptr},
    {"empty segment is ignored", "//diary", nullptr},
};

const char *const InvalidPrefixes[] = {
    "",     "diary", "/a//b",
    "/a?b", "/a#b",  "/1/2/3/4/5/6/7/8/9/10/11/12/13/14/15/16/17"};

bool isPathPrefix(const std::string &Prefix, const std::string &Path) {
  return Path.starts_with(Prefix) &&
         (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
}

} // namespace

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(findsTheLongestPrefix);
  CPPUNIT_TEST(rootRouteMatchesAllOtherPaths);
  CPPUNIT_TEST(refusesUnusablePrefixes);
  CPPUNIT_TEST(agreesWithLinearSearch);
  CPPUNIT_TEST_SUITE_END();

public:
  void findsTheLongestPrefix() {
    const route_table Table({routeTo("/diary"), routeTo("/diary/pages"),
                             routeTo("/survey/"), routeTo("/a"),
                             routeTo("/a/b/c/d")});
    for (const find_case &Case : FindCases) {
      const route *Found = Table.find(Case.Path);
      const std::string Expected = Case.Expected ? Case.Expected : "none";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, Expected,
                                   Found ? Found->Id.value() : "none");
    }
  }

  void rootRouteMatchesAllOtherPaths() {
    const route_table Table({routeTo("/"), routeTo("/diary")});
    CPPUNIT_ASSERT_EQUAL(route_id("/"), Table.find("/other/path")->Id);
    CPPUNIT_ASSERT_EQUAL(route_id("/"), Table.find("/")->Id);
    CPPUNIT_ASSERT(route_table().find("/") == nullptr);
  }

  // Guards against accepting routes that can never match or that hide another
  // route.
  void refusesUnusablePrefixes() {
    for (const char *Prefix : InvalidPrefixes)
      CPPUNIT_ASSERT_THROW_MESSAGE(Prefix, route_table({routeTo(Prefix)}),
                                   route_invalid);
    CPPUNIT_ASSERT_THROW(route_table({routeTo("/a"), routeTo("/a/")}),
                         route_invalid);
  }

  // Guards against a hash table that misses routes at 4100 routes, the design
  // size.
  void agreesWithLinearSearch() {
    random_source Random(testSeed());
    std::vector<route> Routes;
    Routes.reserve(4100);
    for (int Number = 0; Number < 4100; ++Number)
      Routes.push_back(
          routeTo(randomPath(Random) + "/" + std::to_string(Number)));
    const route_table Table(Routes);
    for (int Count = 0; Count < 500; ++Count) {
      std::string Path = Routes[Random.below(Routes.size())].Prefix;
      Path = Path.substr(0, Random.below(Path.size()) + 1) + randomPath(Random);
      const route *Expected = nullptr;
      for (const route &Candidate : Table.routes())
        if (isPathPrefix(Candidate.Prefix, Path) &&
            (!Expected || Candidate.Prefix.size() > Expected->Prefix.size()))
          Expected = &Candidate;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Path, Expected, Table.find(Path));
    }
  }

private:
  static std::string randomPath(random_source &Random) {
    std::string Path;
    for (std::uint64_t Depth = Random.below(3); Depth > 0; --Depth)
      Path += "/s" + std::to_string(Random.below(5));
    return Path;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);
