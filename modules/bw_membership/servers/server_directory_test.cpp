#include "bw_membership/servers/server_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const backend_server_id Server{"diary-1"};

/// Feeds a directory with lists of one server and with drain signs.
struct reader {
  void list(duration At, bool Leaving, std::uint64_t Start = 0,
            const char *Address = "a:1") {
    listed_server Entry;
    Entry.Server = Server;
    Entry.Service = service_id("diary");
    Entry.Address = server_address(Address);
    Entry.Leaving = Leaving;
    Entry.Start = server_start(Start);
    Directory.updateList({Entry}, time_point(At));
  }
  void drop(duration At) { Directory.updateList({}, time_point(At)); }
  void sign(duration At, std::uint64_t Start = 0, const char *Address = "a:1") {
    Directory.drainSeen({Server, server_address(Address), server_start(Start)},
                        time_point(At));
  }

  server_directory Directory;
};

} // namespace

class server_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_directory_test);
  CPPUNIT_TEST(leavingIsImmediateAndPersistent);
  CPPUNIT_TEST(drainSignsAreReportedForALimitedTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void leavingIsImmediateAndPersistent() {
    struct fault_case {
      const char *GuardsAgainst;
      std::function<void(reader &)> Steps;
      bool AcceptsRequests;
    };
    const fault_case Cases[] = {
        {"a live server that gets no requests",
         [](reader &R) { R.list(0s, false); }, true},
        {"requests after the list showed the server as leaving",
         [](reader &R) { R.list(0s, false), R.list(1s, true); }, false},
        {"requests after the server's own drain response",
         [](reader &R) { R.list(0s, false), R.sign(1s); }, false},
        {"an outdated list that revokes leaving",
         [](reader &R) {
           R.list(0s, false), R.sign(1s);
           for (duration At = 2s; At < 10min; At += 1s)
             R.list(At, false);
         },
         false},
        {"two contradicting replicas of the list, read in turn",
         [](reader &R) {
           for (duration At = 0s; At < 10min; At += 1s)
             R.list(At, (At / 1s) % 20 == 0);
         },
         false},
        {"an outdated list that adds a server after its drain sign",
         [](reader &R) { R.sign(0s), R.list(1s, false); }, false},
        {"a newer start that gets no requests",
         [](reader &R) { R.list(0s, true, 1), R.list(1s, false, 2); }, true},
        {"an older start in an outdated list",
         [](reader &R) { R.list(0s, true, 2), R.list(1s, false, 1); }, false},
        {"an older start after which the known one counts as newer",
         [](reader &R) {
           R.list(0s, true, 2), R.list(1s, false, 1), R.list(2s, false, 2);
         },
         false},
        {"a drain sign of the previous start that affects the new one",
         [](reader &R) { R.list(0s, false, 2), R.sign(1s, 1); }, true},
        {"a new start at another address that gets no requests",
         [](reader &R) {
           R.list(0s, false), R.sign(1s), R.list(2s, false, 0, "b:1");
         },
         true},
        {"a restarted server without start numbers that never gets "
         "requests",
         [](reader &R) {
           R.list(0s, false), R.sign(1s), R.drop(2s);
           for (duration At = 10s; At <= 40s; At += 1s)
             R.list(At, false);
         },
         true},
        {"requests to a server that is no longer listed",
         [](reader &R) { R.list(0s, false), R.drop(1s); }, false},
    };
    for (const fault_case &Case : Cases) {
      reader Reader;
      Case.Steps(Reader);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, Case.AcceptsRequests,
                                   Reader.Directory.acceptsRequests(Server));
      const bool Usable = !Reader.Directory.usable(service_id("diary")).empty();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, Case.AcceptsRequests,
                                   Usable);
    }
  }

  // Guards against a drain sign that is not reported to other hosts, and
  // against reports that never end.
  void drainSignsAreReportedForALimitedTime() {
    reader Reader;
    Reader.list(0s, false);
    CPPUNIT_ASSERT(Reader.Directory.reports(time_point(0s)).empty());
    Reader.sign(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Reader.Directory.reports(time_point(2s)).size());
    CPPUNIT_ASSERT(Reader.Directory.reports(time_point(5s)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Reader.Directory.listed(service_id("diary")).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_directory_test);
