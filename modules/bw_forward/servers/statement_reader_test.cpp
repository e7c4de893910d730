#include "bw_forward/servers/statement_reader.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class statement_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(statement_reader_test);
  CPPUNIT_TEST(readsWhatAServerSaysOfItself);
  CPPUNIT_TEST(ignoresMalformedFields);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsWhatAServerSaysOfItself() {
    const server_statement Refusal = read(503, {{"Bw-Request-Limit", "3.25"},
                                                {"Bw-Leaving", "1"},
                                                {"Retry-After", "1.5"}});
    CPPUNIT_ASSERT(Refusal.RequestLimit == 3.25);
    CPPUNIT_ASSERT(Refusal.IsLeaving);
    CPPUNIT_ASSERT(Refusal.RetryAfter == 1500ms);
    // In other answers the field concerns the caller.
    CPPUNIT_ASSERT(!read(200, {{"Retry-After", "1.5"}}).RetryAfter);
    CPPUNIT_ASSERT(read(200, {}) == server_statement());
  }

  // Guards against numbers that cannot be represented, or that would keep a
  // server unused for ever.
  void ignoresMalformedFields() {
    for (const char *Value :
         {"", "x", "1x", "-1", "nan", "inf", "1e400", "9999999"}) {
      const server_statement Statement =
          read(503, {{"Bw-Request-Limit", Value}, {"Retry-After", Value}});
      CPPUNIT_ASSERT_MESSAGE(Value, Statement == server_statement());
    }
  }

private:
  static server_statement
  read(int Status,
       const std::vector<std::pair<std::string, std::string>> &Fields) {
    http1_head Head{.Status = Status};
    for (const auto &[Name, Value] : Fields)
      Head.Headers.add(Name, Value);
    return readStatement(Head, relay_headers());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_reader_test);
