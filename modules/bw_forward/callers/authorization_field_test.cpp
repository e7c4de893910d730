#include "bw_forward/callers/authorization_field.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;

namespace {

struct field_case {
  const char *Failure;
  std::vector<http_header> Fields;
  key_presence Presence;
  /// The key that is looked up, if one is present.
  std::string Key = {};
};

const std::string Longest(512, 'k');

const field_case FieldCases[] = {
    {"request without fields has a key", {}, key_presence::Absent},
    {"key of another field is read",
     {{"X-Authorization", "Bearer k1"}, {"Proxy-Authorization", "Bearer k1"}},
     key_presence::Absent},
    {"usual field is not read",
     {{"Host", "h"}, {"Authorization", "Bearer k1"}},
     key_presence::Present,
     "k1"},
    {"name of the field depends on its case",
     {{"aUTHORIZATION", "Bearer k1"}},
     key_presence::Present,
     "k1"},
    {"scheme in lower case is refused",
     {{"Authorization", "bearer k1"}},
     key_presence::Present,
     "k1"},
    {"scheme in upper case is refused",
     {{"Authorization", "BEARER k1"}},
     key_presence::Present,
     "k1"},
    {"case of the key is changed",
     {{"Authorization", "Bearer K1"}},
     key_presence::Present,
     "K1"},
    {"blanks between scheme and key are part of the key",
     {{"Authorization", "Bearer    k1"}},
     key_presence::Present,
     "k1"},
    {"tabs around the key are part of it",
     {{"Authorization", "\t Bearer\t \tk1 \t"}},
     key_presence::Present,
     "k1"},
    {"characters of encoded keys are refused",
     {{"Authorization", "Bearer aZ09-._~+/=="}},
     key_presence::Present,
     "aZ09-._~+/=="},
    {"one of two equal fields is chosen",
     {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}},
     key_presence::Repeated},
    {"the readable one of two fields is chosen",
     {{"Authorization", "Basic dTpw"}, {"authorization", "Bearer k1"}},
     key_presence::Repeated},
    {"an empty field beside a key is overlooked",
     {{"Authorization", "Bearer k1"}, {"AUTHORIZATION", ""}},
     key_presence::Repeated},
    {"empty field counts as another scheme",
     {{"Authorization", ""}},
     key_presence::Empty},
    {"field of blanks counts as another scheme",
     {{"Authorization", " \t "}},
     key_presence::Empty},
    {"scheme alone has a key",
     {{"Authorization", "Bearer"}},
     key_presence::Empty},
    {"scheme and blanks have a key",
     {{"Authorization", "Bearer \t "}},
     key_presence::Empty},
    {"text before a blank is taken for the key",
     {{"Authorization", "Bearer k1 k2"}},
     key_presence::Empty},
    {"text before a tab is taken for the key",
     {{"Authorization", "Bearer k1\tk2"}},
     key_presence::Empty},
    {"first of several credentials in one field is chosen",
     {{"Authorization", "Bearer k1, Bearer k2"}},
     key_presence::Empty},
    {"another scheme is read",
     {{"Authorization", "Basic k1"}},
     key_presence::OtherScheme},
    {"key without a scheme is read",
     {{"Authorization", "k1"}},
     key_presence::OtherScheme},
    {"scheme that starts alike is read",
     {{"Authorization", "Bearers k1"}},
     key_presence::OtherScheme},
    {"key that adjoins the scheme is read",
     {{"Authorization", "Bearerk1"}},
     key_presence::OtherScheme},
    {"longest key is refused",
     {{"Authorization", "Bearer " + Longest}},
     key_presence::Present,
     Longest},
    {"blanks count towards the length",
     {{"Authorization", "Bearer   " + Longest + "   "}},
     key_presence::Present,
     Longest},
    {"key that is one byte too long is read",
     {{"Authorization", "Bearer " + Longest + "k"}},
     key_presence::TooLong},
    {"key of some kilobytes is read",
     {{"Authorization", "Bearer " + std::string(60'000, 'k')}},
     key_presence::TooLong},
};

} // namespace

class authorization_field_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(authorization_field_test);
  CPPUNIT_TEST(readsKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are refused although they carry a key, against
  // a choice between several keys, and against a wrong reason in the log.
  void readsKeys() {
    for (const field_case &Case : FieldCases) {
      http_headers Headers;
      for (const http_header &Each : Case.Fields)
        Headers.add(Each.Name, Each.Value);
      const presented_key Key = readPresentedKey(Headers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure,
                                   std::string(presenceName(Case.Presence)),
                                   std::string(presenceName(Key.Presence)));
      const key_digest Expected = Case.Presence == key_presence::Present
                                      ? key_digest::of(Case.Key)
                                      : key_digest();
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Key.Digest == Expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(authorization_field_test);
