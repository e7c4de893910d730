#include "bw_platform/hosts/host_list.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

std::string listOf(const std::string &Entries) {
  return R"({"hosts":[)" + Entries + "]}";
}

std::string entry(const std::string &Field, const std::string &Value) {
  std::string Result = R"({"name":"b1","role":"backend_server",)"
                       R"("service":"diary-svc","data_centre":"bkk-a",)"
                       R"("address":"127.0.0.1","port":8080,"slots":6,)"
                       R"("state":"live","later_field":1,)";
  // The last of two equal keys counts in this parser.
  return Result + '"' + Field + "\":" + Value + "}";
}

const std::string Other = R"({"name":"h1","role":"host",)"
                          R"("data_centre":"bkk-a","address":"127.0.0.1",)"
                          R"("port":1,"state":"live"})";

} // namespace

class host_list_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_list_test);
  CPPUNIT_TEST(readsHostsAndBackendServers);
  CPPUNIT_TEST(leavesOutBadEntries);
  CPPUNIT_TEST(refusesTextsThatAreNoList);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsHostsAndBackendServers() {
    const auto Hosts =
        decodeHostList(listOf(entry("state", "\"leaving\"") + "," + Other))
            .Hosts;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Hosts.size());
    CPPUNIT_ASSERT(Hosts[0].Role == listed_role::BackendServer);
    CPPUNIT_ASSERT(Hosts[0].IsLeaving);
    CPPUNIT_ASSERT_EQUAL(6U, Hosts[0].Slots.value());
    CPPUNIT_ASSERT(Hosts[1].Role == listed_role::Host);
    CPPUNIT_ASSERT(!Hosts[1].IsLeaving);
  }

  // Guards against a list that is refused, or routed to in half, because of one
  // entry, and against requests to an address that is none.
  void leavesOutBadEntries() {
    const std::string Cases[] = {
        "1",
        "[]",
        entry("name", "\"\""),
        entry("name", "1"),
        entry("name", "null"),
        entry("role", "\"other\""),
        entry("state", "\"dead\""),
        entry("port", "0"),
        entry("port", "65536"),
        entry("port", "-1"),
        entry("port", "\"80\""),
        entry("port", "80.5"),
        entry("slots", "0"),
        entry("address", "\"" + std::string(201, 'a') + "\""),
        entry("address", "\"127.0.0.1/x?\""),
        entry("address", "\"a@127.0.0.1\""),
        entry("address", "\"127.0.0.1:80\""),
        entry("address", "\"127.0.0.1 \""),
        entry("service", "[]"),
        entry("name", "\"h1\""),
        // Bytes that are not UTF-8, a number that no double can hold, and a
        // nesting that a parser may not survive.
        entry("name", "\"\xff\""),
        entry("later_field", "\"\xff\""),
        entry("port", "1e999"),
        entry("later_field",
              std::string(100'000, '[') + std::string(100'000, ']')),
        entry("data_centre", "\"" + std::string(100'000, 'a') + "\""),
    };
    for (const std::string &Case : Cases) {
      std::string Entries = Other;
      Entries.append(",").append(Case).append(",").append(entry("port", "81"));
      const host_list List = decodeHostList(listOf(Entries));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, std::size_t(2), List.Hosts.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, std::string("h1"), List.Hosts[0].Name);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, 81, int(List.Hosts[1].Port));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, std::size_t(1), List.Malformed.size());
    }
  }

  // Guards against an empty list in place of one that cannot be read.
  void refusesTextsThatAreNoList() {
    const std::string Cases[] = {
        "",
        "{",
        "[]",
        "{}",
        R"({"hosts":{}})",
        std::string(100'000, '['),
        listOf(entry("later_field", std::string(100'000, '['))),
    };
    for (const std::string &Case : Cases)
      CPPUNIT_ASSERT_THROW_MESSAGE(Case.substr(0, 200), decodeHostList(Case),
                                   host_list_error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_list_test);
