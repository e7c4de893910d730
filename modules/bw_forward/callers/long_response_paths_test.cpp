#include "bw_forward/callers/long_response_paths.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

class long_response_paths_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(long_response_paths_test);
  CPPUNIT_TEST(neighboursOfALongResponseAreExpectedLong);
  CPPUNIT_TEST(shortResponsesEndTheExpectation);
  CPPUNIT_TEST(callersCannotUseUpMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are lost behind the next long response of a
  // path.
  void neighboursOfALongResponseAreExpectedLong() {
    long_response_paths Paths;
    CPPUNIT_ASSERT(!Paths.expectsLong(request("/records/7")));
    Paths.responded(request("/records/7"), true);
    CPPUNIT_ASSERT(Paths.expectsLong(request("/records/8?all=1")));
    CPPUNIT_ASSERT(!Paths.expectsLong(request("/queries/7")));
  }

  // Guards against a path that is held back for ever after one long response.
  void shortResponsesEndTheExpectation() {
    long_response_paths Paths;
    Paths.responded(request("/records/7"), true);
    for (int Count = 0; Count < 63; ++Count)
      Paths.responded(request("/records/7"), false);
    CPPUNIT_ASSERT(Paths.expectsLong(request("/records/7")));
    Paths.responded(request("/records/7"), false);
    CPPUNIT_ASSERT(!Paths.expectsLong(request("/records/7")));
  }

  // Guards against memory that grows with the paths that callers invent.
  void callersCannotUseUpMemory() {
    long_response_paths Paths;
    int Known = 0;
    const auto Path = [](int Number) {
      return request("/" + std::to_string(Number) + "/x");
    };
    for (int Number = 0; Number < 10'000; ++Number)
      Paths.responded(Path(Number), true);
    for (int Number = 0; Number < 10'000; ++Number)
      Known += Paths.expectsLong(Path(Number)) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(4096, Known);
  }

private:
  static http1_head request(const std::string &Target) {
    http1_head Result;
    Result.Target = Target;
    return Result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_response_paths_test);
