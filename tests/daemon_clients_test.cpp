// Clients that hold the memory and descriptors of `bramleywinchd`, as
// slow_clients_test does with the gateway: with lowered limits in the settings,
// the process lives, its peak memory and open descriptors stay under them, and
// an ordinary request is answered while the crowd is still there.

#include "tests/harness/fleet_process.h"
#include "tests/harness/wait_until.h"
#include "tests/slow_clients/crowd.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

using namespace bw;
using namespace bw::slow_clients;
using namespace std::chrono_literals;

class daemon_clients_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(daemon_clients_test);
  CPPUNIT_TEST(idleConnections);
  CPPUNIT_TEST(headsByteByByte);
  CPPUNIT_TEST(halfSentBodies);
  CPPUNIT_TEST(longAnswersLeftUnread);
  CPPUNIT_TEST(manyRequestsAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against descriptors held by callers that ask nothing.
  void idleConnections() { play({.Size = 700, .Request = "", .Rounds = 10}); }

  // Guards against descriptors held by heads that never end.
  void headsByteByByte() {
    play({.Size = 700,
          .Request = request("/records/1", ""),
          .SentPerRound = byte_count(1)});
  }

  // Guards against memory held by bodies whose rest does not come.
  void halfSentBodies() {
    play({.Size = 250,
          .Request = request("/records/1", "Content-Length: 2000000\r\n") +
                     std::string(1'000'000, 'b')});
  }

  // Guards against answers that are kept for callers that read nothing.
  void longAnswersLeftUnread() {
    const std::string Long = request("/exports/1000000", "");
    play({.Size = 200, .Request = Long + Long});
  }

  // Guards against threads that wait for each other's full rings.
  void manyRequestsAtOnce() {
    harness::fleet_process Fleet;
    harness::fleet_host &Host = Fleet.host(0);
    harness::child_process Load(
        "bw-load",
        {"--url", harness::loopbackUrl(Host.ListenPort, "/records/{n}"),
         "--header", "Authorization: Bearer analyst." + std::string(64, 'a'),
         "--burst", "10000", "--pipelined", "2"});
    const bool HasNoneOverdue = Load.waitForEnd(90s) == 0;
    std::cout << Load.output();
    CPPUNIT_ASSERT(HasNoneOverdue);
    CPPUNIT_ASSERT(Host.Daemon->isRunning());
    CPPUNIT_ASSERT(isAnswered(Fleet));
  }

private:
  static constexpr byte_count Memory = mebibytes(80);
  static constexpr std::size_t Descriptors = 500;

  static std::string request(const std::string &Path, const std::string &More) {
    return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" + More +
           "Authorization: Bearer analyst." + std::string(64, 'a') + "\r\n\r\n";
  }

  static bool isAnswered(const harness::fleet_process &Fleet) {
    return harness::waitUntil(
        [&] {
          return Fleet.call(0, {.Limit = 5s}, "/records/2").Status == 200;
        },
        30s);
  }

  static void play(const crowd_options &Options) {
    harness::fleet_process Fleet(
        "memory_mb: " + std::to_string(Memory.value() / mebibytes(1).value()) +
        "\nfile_descriptors: " + std::to_string(Descriptors) + "\n");
    harness::fleet_host &Host = Fleet.host(0);
    std::size_t MostDescriptors = 0;
    crowd Crowd({.Ip = "127.0.0.1", .Port = Host.ListenPort}, Options);
    Crowd.play([&] {
      MostDescriptors =
          std::max(MostDescriptors, Host.Daemon->openDescriptors());
    });
    const bool IsAnswered = isAnswered(Fleet);
    const byte_count Peak = Host.Daemon->peakMemory();
    std::cout << "  " << Crowd.connected() << " clients are connected, peak "
              << Peak.value() / 1024 << " KB, descriptors " << MostDescriptors
              << (IsAnswered ? ", answered\n" : ", not answered\n");
    CPPUNIT_ASSERT(Host.Daemon->isRunning());
    CPPUNIT_ASSERT(Peak <= Memory);
    CPPUNIT_ASSERT(MostDescriptors <= Descriptors);
    CPPUNIT_ASSERT(IsAnswered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_clients_test);
