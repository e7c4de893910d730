#include "bw_daemon/settings/daemon_settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

const std::string Valid = "host: entry-01\n"
                          "data_centre: bkk-a\n"
                          "listen: { address: 127.0.0.1, port: 8080 }\n"
                          "peer: { address: 127.0.0.1, port: 8081 }\n"
                          "peer_key: 0123456789abcdef\n"
                          "platform_url: http://127.0.0.1:9000\n";

} // namespace

class daemon_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(daemon_settings_test);
  CPPUNIT_TEST(validSettingsAreRead);
  CPPUNIT_TEST(badSettingsNameLineAndKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void validSettingsAreRead() {
    const daemon_settings Settings = read(Valid);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-01"), Settings.Host.value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8081), Settings.Peer.Port);
    CPPUNIT_ASSERT(Settings.MaxBody == mebibytes(8));
    CPPUNIT_ASSERT(!Settings.Limits.Memory && !Settings.Limits.Descriptors);
    const daemon_settings Limited =
        read(Valid + "memory_mb: 64\nfile_descriptors: 500\n");
    CPPUNIT_ASSERT(Limited.Limits.Memory == mebibytes(64));
    CPPUNIT_ASSERT(Limited.Limits.Descriptors == std::uint64_t(500));
  }

  // Guards against a daemon that starts with settings nobody meant.
  void badSettingsNameLineAndKey() {
    struct fault_case {
      std::string Text;
      int Line;
      const char *Key;
    };
    const fault_case Cases[] = {
        {Valid + "odd: 1\n", 7, "odd"},
        {Valid + "max_body_bytes: 1\n", 7, "max_body_bytes"},
        {Valid + "memory_mb: 0\n", 7, "memory_mb"},
        {Valid + "file_descriptors: 10\n", 7, "file_descriptors"},
        {Valid + "platform_timeout_ms: -5\n", 7, "platform_timeout_ms"},
        {Valid + "host: twice\n", 7, "host"},
        {Valid + "hosts:\n  - { host: a }\n", 8, "hosts[0].data_centre"},
        {Valid + "hosts: none\n", 7, "hosts"},
        {Valid + "operators:\n  - { name: a, salt: 0, secret_sha256: 0 }\n", 8,
         "operators[0].salt"},
        {"host: a\n", 1, "data_centre"},
    };
    for (const fault_case &Case : Cases) {
      try {
        read(Case.Text);
        CPPUNIT_FAIL("accepted: " + Case.Text);
      } catch (const settings_error &Failure) {
        CPPUNIT_ASSERT_EQUAL(std::string(Case.Key), Failure.key());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, Case.Line, Failure.line());
      }
    }
  }

private:
  static daemon_settings read(const std::string &Text) {
    return readDaemonSettings(settings_reader::fromText(Text, "d.yaml"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);
