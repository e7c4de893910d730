#include "bw_gateway/hosts/host_directory.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

using namespace bw;
using namespace std::chrono_literals;

namespace {

gateway_host host(const std::string &Name, const std::string &DataCentre) {
  return {.Host = host_id(Name), .DataCentre = data_centre_id(DataCentre)};
}

const std::vector<gateway_host> Fleet = {host("a1", "a"), host("a2", "a"),
                                         host("a3", "a"), host("a4", "a"),
                                         host("b1", "b"), host("b2", "b")};

host_state state(std::uint64_t Version, std::uint64_t Revision,
                 std::uint64_t Digest, duration Age = 100ms) {
  return {.Version = config_version(Version),
          .ListRevision = store_revision(Revision),
          .ListDigest = list_digest(Digest),
          .ListAge = Age};
}

} // namespace

class host_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_directory_test);
  CPPUNIT_TEST(reportsGoNearAndFarWithoutItself);
  CPPUNIT_TEST(reportsOfALargeFleetAreLimited);
  CPPUNIT_TEST(firstHostsReadTheListForTheirDataCentre);
  CPPUNIT_TEST(othersReadWhenTheReadersFallSilent);
  CPPUNIT_TEST(someHostsFollowTheStoreForAll);
  CPPUNIT_TEST(aReaderWithADifferentListDoesNotCount);
  CPPUNIT_TEST(findsWhoHasNewerNews);
  CPPUNIT_TEST(prefersANearHostForTheList);
  CPPUNIT_TEST(onlyTheFirstLiveHostRemovesGoneOnes);
  CPPUNIT_TEST(theFirstLiveHostSumsUpTheLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportsGoNearAndFarWithoutItself() {
    host_directory Hosts = directory("a2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Hosts.targetsNear(Random).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Hosts.targetsFar(Random).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Hosts.listedHosts());
  }

  // Guards against messages that grow with the square of the fleet.
  void reportsOfALargeFleetAreLimited() {
    host_directory Hosts({.Self = host_id("h0"),
                          .DataCentre = data_centre_id("a"),
                          .MaxTargets = 8});
    std::vector<gateway_host> Many(200);
    for (std::size_t Index = 0; Index < Many.size(); ++Index)
      Many[Index] = host("h" + std::to_string(Index), "a");
    Hosts.listed(Many, Now);
    std::map<host_id, int> Counts;
    for (int Round = 0; Round < 200; ++Round) {
      const auto Targets = Hosts.targetsNear(Random);
      CPPUNIT_ASSERT_EQUAL(std::size_t(8), Targets.size());
      for (const gateway_host &Each : Targets)
        ++Counts[Each.Host];
    }
    // Every host gets its turn.
    CPPUNIT_ASSERT(Counts.size() > 190);
  }

  // Guards against a store that is read by every host, and by none.
  void firstHostsReadTheListForTheirDataCentre() {
    for (const char *Name : {"a1", "a2"}) {
      host_directory Hosts = directory(Name);
      hearAll(Hosts, state(1, 1, 7));
      Hosts.ownState(state(1, 1, 7, 0ms), Now);
      CPPUNIT_ASSERT(Hosts.nextListRead(Now, Random) == Now + 900ms);
    }
    host_directory Hosts = directory("a4");
    hearAll(Hosts, state(1, 1, 7, 100ms));
    Hosts.ownState(state(1, 1, 7, 3s), Now);
    CPPUNIT_ASSERT(Hosts.nextListRead(Now, Random) >= Now + 1100ms);
  }

  // Guards against a data centre that hears nothing of leaving servers after
  // both of its readers died.
  void othersReadWhenTheReadersFallSilent() {
    host_directory Hosts = directory("a4");
    hearAll(Hosts, state(1, 1, 7, 0ms));
    Hosts.ownState(state(1, 1, 7, 0ms), Now);
    const time_point Next = Hosts.nextListRead(Now, Random);
    CPPUNIT_ASSERT(Next > Now + 1s && Next <= Now + 1500ms);
  }

  // Guards against a watch of the configuration by every host, and against a
  // data centre in which nobody watches, since the store turns the first hosts
  // away.
  void someHostsFollowTheStoreForAll() {
    host_directory Second = directory("a2");
    host_directory Last = directory("a4");
    hearAll(Second, state(1, 1, 7));
    hearAll(Last, state(1, 1, 7));
    CPPUNIT_ASSERT(Second.followsStore(Now) && !Last.followsStore(Now));
    Last.listRead(Now);
    CPPUNIT_ASSERT(Last.followsStore(Now));
    Now += 4s;
    hearAll(Last, state(1, 1, 7));
    CPPUNIT_ASSERT(!Last.followsStore(Now));
    // Nobody else is heard: this host is the first.
    Now += 4s;
    CPPUNIT_ASSERT(Last.followsStore(Now));
  }

  // Guards against a host that trusts a list which it does not have.
  void aReaderWithADifferentListDoesNotCount() {
    host_directory Hosts = directory("a4");
    hearAll(Hosts, state(1, 2, 8, 0ms));
    Hosts.ownState(state(1, 1, 7, 2s), Now);
    CPPUNIT_ASSERT(Hosts.nextListRead(Now, Random) <= Now);
  }

  // Guards against a host that the store turns away and that nobody tells.
  void findsWhoHasNewerNews() {
    host_directory Hosts = directory("a1");
    Hosts.ownState(state(5, 10, 7), Now);
    CPPUNIT_ASSERT(!Hosts.newerConfiguration(Now));
    Hosts.heard(host_id("a2"), state(5, 10, 7), Now);
    CPPUNIT_ASSERT(!Hosts.newerConfiguration(Now) && !Hosts.newerServers(Now));
    // The same content at a later revision is no news.
    Hosts.heard(host_id("a3"), state(5, 12, 7), Now);
    CPPUNIT_ASSERT(!Hosts.newerServers(Now));
    Hosts.heard(host_id("b1"), state(6, 11, 8), Now);
    CPPUNIT_ASSERT(Hosts.newerConfiguration(Now)->Host == host_id("b1"));
    CPPUNIT_ASSERT(Hosts.newerServers(Now)->Host == host_id("b1"));
    // A dead host cannot be asked.
    Now += 10s;
    CPPUNIT_ASSERT(!Hosts.newerConfiguration(Now) && !Hosts.newerServers(Now));
  }

  void prefersANearHostForTheList() {
    host_directory Hosts = directory("a1");
    Hosts.ownState(state(5, 10, 7), Now);
    Hosts.heard(host_id("b1"), state(5, 20, 8), Now);
    Hosts.heard(host_id("a3"), state(5, 15, 8), Now);
    CPPUNIT_ASSERT(Hosts.newerServers(Now)->Host == host_id("a3"));
  }

  // Guards against a list of hosts that only grows, and against many removals
  // of the same one.
  void onlyTheFirstLiveHostRemovesGoneOnes() {
    host_directory First = directory("a1");
    host_directory Second = directory("a2");
    Now += 61s;
    for (host_directory *Hosts : {&First, &Second})
      for (const gateway_host &Each : Fleet)
        if (Each.Host != host_id("b2"))
          Hosts->heard(Each.Host, {}, Now);
    CPPUNIT_ASSERT(First.goneHosts(Now) == std::vector<host_id>{host_id("b2")});
    CPPUNIT_ASSERT(Second.goneHosts(Now).empty());
  }

  void theFirstLiveHostSumsUpTheLoad() {
    host_directory Second = directory("a2");
    hearAll(Second, {});
    CPPUNIT_ASSERT(!Second.isSummarizer(Now));
    Now += 5s;
    Second.heard(host_id("a3"), {}, Now);
    CPPUNIT_ASSERT(Second.isSummarizer(Now));
    // The first of another data centre is not in the way.
    CPPUNIT_ASSERT(directory("b1").isSummarizer(Now));
  }

private:
  host_directory directory(const std::string &Self) {
    const auto Own =
        std::find_if(Fleet.begin(), Fleet.end(), [&](const gateway_host &Each) {
          return Each.Host == host_id(Self);
        });
    host_directory Result({.Self = Own->Host, .DataCentre = Own->DataCentre});
    Result.listed(Fleet, Now);
    return Result;
  }

  void hearAll(host_directory &Hosts, const host_state &State) {
    for (const gateway_host &Each : Fleet)
      Hosts.heard(Each.Host, State, Now);
  }

  random_source Random{testSeed()};
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_directory_test);
