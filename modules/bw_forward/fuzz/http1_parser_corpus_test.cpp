#include "bw_forward/fuzz/http1_parser_check.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/http/response_cases.h"
#include "bw_testing/runner/corpus.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>

using namespace bw;

// Plays the fuzzer's check on the cases of the tests and on seeded changes of
// them. A violated check ends the test program.
class http1_parser_corpus_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http1_parser_corpus_test);
  CPPUNIT_TEST(corpus);
  CPPUNIT_TEST(casesAndTheirChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void corpus() {
    CPPUNIT_ASSERT(runCorpus(BW_SOURCE_DIRECTORY
                             "/modules/bw_forward/fuzz/corpus/http1_parser",
                             checkHttp1Parser) > 0);
  }

  void casesAndTheirChanges() {
    constexpr int ChangesOfACase = 50;
    random_source Random(testSeed());
    for (const std::span<const response_case> Cases :
         {std::span<const response_case>(BrokenStatusLines),
          std::span<const response_case>(BrokenFields),
          std::span<const response_case>(BrokenFraming),
          std::span<const response_case>(BrokenChunkExtensions),
          std::span<const response_case>(ValidResponses)})
      for (const response_case &Case : Cases) {
        checkHttp1Parser(Case.Bytes);
        for (int Count = 0; Count < ChangesOfACase; ++Count) {
          std::string Changed = Case.Bytes;
          const std::size_t Place = Random.below(Changed.size());
          constexpr std::string_view Bytes("\r\n :\t\0\x01;0a\x7f\xff", 12);
          if (Random.chance(0.5))
            Changed[Place] = Bytes[Random.below(Bytes.size())];
          else if (Random.chance(0.5))
            Changed.insert(Place, 1, Bytes[Random.below(Bytes.size())]);
          else
            Changed.erase(Place, 1);
          checkHttp1Parser(Changed);
        }
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http1_parser_corpus_test);
