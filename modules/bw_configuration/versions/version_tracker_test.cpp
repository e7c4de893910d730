#include "bw_configuration/versions/version_tracker.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const data_centre_id Near{"a"};
const data_centre_id Far{"b"};

/// A tracker with 8 peers in its own data centre and 4 in another.
struct fixture {
  fixture() : Random(testSeed()), Tracker(host_id("self"), Near) {
    std::vector<version_peer> Peers{{host_id("self"), Near}};
    for (int Index = 0; Index < 12; ++Index)
      Peers.push_back(
          {host_id("p" + std::to_string(Index)), Index < 8 ? Near : Far});
    Tracker.setPeers(Peers);
  }
  version_commands peerHas(const char *Peer, std::uint64_t Version) {
    return Tracker.peerHas(host_id(Peer), config_version(Version), Now, Random);
  }
  version_commands apply(std::uint64_t Version) {
    return Tracker.applied(config_version(Version), Now, Random);
  }
  template <typename Kind>
  static std::vector<Kind> all(const version_commands &Commands) {
    std::vector<Kind> Found;
    for (const version_command &Command : Commands)
      if (const auto *Wanted = std::get_if<Kind>(&Command))
        Found.push_back(*Wanted);
    return Found;
  }

  random_source Random;
  version_tracker Tracker;
  time_point Now{};
};

} // namespace

class version_tracker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(version_tracker_test);
  CPPUNIT_TEST(versionNeverReverts);
  CPPUNIT_TEST(noticesReachTheExpectedHosts);
  CPPUNIT_TEST(unansweredFetchesUseOtherSources);
  CPPUNIT_TEST(fetchesAlternateBetweenSources);
  CPPUNIT_TEST(exchangesAnswerAndRepeat);
  CPPUNIT_TEST(inForceNeedsEveryLiveHost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a late fetch or notice that restores an older version.
  void versionNeverReverts() {
    fixture F;
    F.apply(5);
    CPPUNIT_ASSERT(F.apply(4).empty());
    CPPUNIT_ASSERT(F.peerHas("p0", 3).empty());
    CPPUNIT_ASSERT(F.Tracker.own() == config_version(5));
  }

  // Guards against a watcher that notifies its own data centre only, and
  // against several notices to the same host.
  void noticesReachTheExpectedHosts() {
    for (const bool Watcher : {false, true}) {
      fixture F;
      F.Tracker.setWatcher(Watcher);
      std::set<host_id> Notified;
      for (const auto &Notice : fixture::all<version_notice>(F.apply(5)))
        Notified.insert(Notice.To);
      CPPUNIT_ASSERT_EQUAL(std::size_t(Watcher ? 5 : 4), Notified.size());
      CPPUNIT_ASSERT(!Notified.contains(host_id("self")));
    }
  }

  // Guards against a host that waits for a source that does not answer.
  void unansweredFetchesUseOtherSources() {
    fixture F;
    F.peerHas("p9", 5);
    const auto Again = F.Tracker.tick(F.Now + 300ms, F.Random);
    CPPUNIT_ASSERT(fixture::all<version_fetch>(Again).at(0).From ==
                   host_id("p9"));
    F.peerHas("p3", 5);
    const auto Other = F.Tracker.fetchFailed(F.Now + 400ms, F.Random);
    CPPUNIT_ASSERT(fixture::all<version_fetch>(Other).at(0).From ==
                   host_id("p3"));
    const auto Store =
        F.Tracker.headSeen(config_version(6), F.Now + 400ms, F.Random);
    CPPUNIT_ASSERT(Store.empty());
    const auto Late = F.Tracker.tick(F.Now + 700ms, F.Random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         fixture::all<store_fetch>(Late).size());
  }

  // Guards against fetching repeatedly from the same source that does not
  // answer while there is another.
  void fetchesAlternateBetweenSources() {
    fixture Two;
    host_id Last = fixture::all<version_fetch>(Two.peerHas("p3", 5)).at(0).From;
    Two.peerHas("p4", 5);
    for (int Round = 1; Round <= 10; ++Round) {
      const auto Next = Two.Tracker.tick(Two.Now + Round * 300ms, Two.Random);
      const host_id From = fixture::all<version_fetch>(Next).at(0).From;
      CPPUNIT_ASSERT(From != Last);
      Last = From;
    }
  }

  // Guards against a host that stays behind after it missed all notices.
  void exchangesAnswerAndRepeat() {
    fixture F;
    F.apply(5);
    const auto Reply = F.Tracker.exchangeReceived(
        host_id("p1"), config_version(4), true, F.Now, F.Random);
    CPPUNIT_ASSERT(fixture::all<version_exchange>(Reply).at(0).Version ==
                   config_version(5));
    const auto First = F.Tracker.tick(F.Now, F.Random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         fixture::all<version_exchange>(First).size());
    const auto Repeated = F.Tracker.tick(F.Now + 200ms, F.Random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         fixture::all<version_exchange>(Repeated).size());
    const auto Newer = F.Tracker.exchangeReceived(
        host_id("p1"), config_version(7), false, F.Now + 210ms, F.Random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         fixture::all<version_fetch>(Newer).size());
    const auto Answered = F.Tracker.tick(F.Now + 420ms, F.Random);
    CPPUNIT_ASSERT(fixture::all<version_exchange>(Answered).empty());
  }

  // Guards against reporting a version as in force while a live host has an
  // older one.
  void inForceNeedsEveryLiveHost() {
    fixture F;
    for (int Index = 8; Index < 12; ++Index)
      F.peerHas(("p" + std::to_string(Index)).c_str(), Index == 9 ? 5 : 6);
    CPPUNIT_ASSERT(F.Tracker.inForce(Far) == config_version(5));
    CPPUNIT_ASSERT(F.Tracker.inForce(Near) == config_version());
    CPPUNIT_ASSERT(F.Tracker.inForce(data_centre_id("c")) == config_version());
    F.Tracker.setPeers({{host_id("p8"), Far}});
    CPPUNIT_ASSERT(F.Tracker.inForce(Far) == config_version(6));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_tracker_test);
