#include "bw_detection/floor/ejection_floor.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

struct floor_case {
  const char *GuardsAgainst;
  std::size_t Count;
  double Floor;
  std::size_t Leaving;
  std::size_t Ejected;
  std::size_t Excluded;
};

constexpr floor_case FloorCases[] = {
    {"floor rounded down: 6 * 0.8 is 4.8, so 5 are kept", 6, 0.8, 0, 6, 1},
    {"binary rounding that keeps 8 of 10 at floor 0.7", 10, 0.7, 0, 10, 3},
    {"all servers excluded when all are ejected", 20, 0.8, 0, 20, 4},
    {"leaving servers counted as capacity", 20, 0.8, 3, 10, 1},
    {"more leaving servers than the allowance, which underflows", 6, 0.8, 4, 2,
     0},
    {"a server excluded despite a floor of 1", 8, 1.0, 0, 8, 0},
    {"the only instance excluded", 1, 0.75, 0, 1, 0},
};

ejection_candidate candidate(const std::string &Name, double Score) {
  return {
      .Server = backend_server_id(Name), .Ejected = Score > 0, .Score = Score};
}

} // namespace

class ejection_floor_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ejection_floor_test);
  CPPUNIT_TEST(keepsTheFloor);
  CPPUNIT_TEST(excludesTheWorstFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsTheFloor() {
    for (const floor_case &Case : FloorCases) {
      std::vector<ejection_candidate> Candidates(Case.Count);
      for (std::size_t Index = 0; Index < Case.Count; ++Index) {
        Candidates[Index] = candidate(std::to_string(Index), 0);
        Candidates[Index].Leaving = Index < Case.Leaving;
        Candidates[Index].Ejected = Index >= Case.Count - Case.Ejected;
      }
      const auto Excluded =
          ejection_floor(ratio(Case.Floor)).selectExcluded(Candidates);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, Case.Excluded,
                                   Excluded.size());
    }
  }

  // Guards against pickers that exclude different servers when scores are
  // equal, and against excluding a server with a lower score in place of one
  // with a higher score.
  void excludesTheWorstFirst() {
    const std::vector<ejection_candidate> Candidates = {
        candidate("a", 20), candidate("d", 30), candidate("c", 30),
        candidate("b", 0), candidate("e", 25)};
    const std::vector<backend_server_id> Expected = {backend_server_id("c"),
                                                     backend_server_id("d")};
    CPPUNIT_ASSERT(ejection_floor(ratio(0.6)).selectExcluded(Candidates) ==
                   Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ejection_floor_test);
