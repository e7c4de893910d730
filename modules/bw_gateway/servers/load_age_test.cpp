#include "bw_gateway/servers/load_age.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class load_age_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_age_test);
  CPPUNIT_TEST(reportsAreOlderThanTheirMessage);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against load that counts as new because the message that contains it
  // has just arrived, and against a shown age before any message.
  void reportsAreOlderThanTheirMessage() {
    load_age Age;
    CPPUNIT_ASSERT(!Age.reportedAt());
    time_point Now(100s);
    for (int Message = 0; Message < 50; ++Message) {
      Now += 80ms;
      Age.recordMessage(Now);
    }
    CPPUNIT_ASSERT(Age.reportedAt() == Now - 40ms);
    CPPUNIT_ASSERT(Age.at(Now + 100ms) == 140ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_age_test);
