#include "bw_http/messages/percent_encoding.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

class percent_encoding_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(percent_encoding_test);
  CPPUNIT_TEST(encodesWhatEndsOrChangesAValue);
  CPPUNIT_TEST(everyByteSurvives);
  CPPUNIT_TEST(refusesBrokenEncodings);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against names that end a path, a value or a request target.
  void encodesWhatEndsOrChangesAValue() {
    const struct {
      std::string Text;
      const char *Encoded;
    } Cases[] = {{"", ""},
                 {"i-7f3a91c2.A_~9", "i-7f3a91c2.A_~9"},
                 {"a&more=1", "a%26more%3D1"},
                 {"a+b c", "a%2Bb%20c"},
                 {"a#b?c/d", "a%23b%3Fc%2Fd"},
                 {"100%", "100%25"},
                 {"\xc3\xa9\xff", "%C3%A9%FF"},
                 {std::string("\r\n\0", 3), "%0D%0A%00"}};
    for (const auto &Case : Cases)
      CPPUNIT_ASSERT_EQUAL(std::string(Case.Encoded), percentEncode(Case.Text));
  }

  void everyByteSurvives() {
    std::string All;
    for (int Byte = 0; Byte < 256; ++Byte)
      All += static_cast<char>(Byte);
    CPPUNIT_ASSERT(percentDecode(percentEncode(All)) == All);
    CPPUNIT_ASSERT(percentDecodeQuery(percentEncode(All)) == All);
    CPPUNIT_ASSERT(percentDecode("a+b") == "a+b");
    CPPUNIT_ASSERT(percentDecodeQuery("a+b") == "a b");
  }

  void refusesBrokenEncodings() {
    for (const char *Text : {"%", "a%2", "%zz", "%2g", "%-1", "% 1"})
      CPPUNIT_ASSERT_MESSAGE(Text, !percentDecode(Text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(percent_encoding_test);
