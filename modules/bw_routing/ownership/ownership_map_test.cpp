#include "bw_routing/ownership/ownership_map.h"

#include "bw_testing/runner/test_seed.h"

#include "bw_core/random/random_source.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const data_centre_id Centres[] = {data_centre_id("a"), data_centre_id("b"),
                                  data_centre_id("c")};

host_id hostName(std::size_t Number) {
  return host_id("host-" + std::to_string(Number));
}

backend_server_id instanceName(std::size_t Number) {
  return backend_server_id("server-" + std::to_string(Number));
}

const data_centre_id &centreOf(std::size_t Number) {
  return Centres[Number % std::size(Centres)];
}

constexpr std::size_t InstanceCount = 300;
constexpr std::size_t HostCount = 24;

void addInstances(ownership_map &Map) {
  for (std::size_t Number = 0; Number < InstanceCount; ++Number)
    Map.addInstance(instanceName(Number), centreOf(Number));
}

std::vector<ownership> snapshot(const ownership_map &Map) {
  std::vector<ownership> Result;
  for (std::size_t Number = 0; Number < InstanceCount; ++Number)
    Result.push_back(Map.find(instanceName(Number)));
  return Result;
}

bool involves(const ownership &Entry, const host_id &Host) {
  return Entry.Owner == Host || Entry.Successor == Host;
}

} // namespace

class ownership_map_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ownership_map_test);
  CPPUNIT_TEST(deathMovesOnlyItsOwnInstances);
  CPPUNIT_TEST(resultIsIndependentOfTheOrder);
  CPPUNIT_TEST(newHostOwnsNothingBeforeItsDelay);
  CPPUNIT_TEST(firstHostsOwnImmediately);
  CPPUNIT_TEST(everyMoveIsReported);
  CPPUNIT_TEST(instancesAreSpreadOverHosts);
  CPPUNIT_TEST(reusedPositionIsAnotherHost);
  CPPUNIT_TEST(topHostsAreTheHighestScores);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Random = random_source(testSeed()); }

  // Guards against the death of a host that moves instances of other hosts:
  // each moved instance loses its queue and its failure detector's state.
  void deathMovesOnlyItsOwnInstances() {
    ownership_map Map = settledMap();
    for (std::size_t Death = 0; Death < HostCount / 2; ++Death) {
      const std::vector<ownership> Before = snapshot(Map);
      const host_id Dead = hostName(Death);
      Map.removeHost(Dead, Now);
      const std::vector<ownership> After = snapshot(Map);
      for (std::size_t Number = 0; Number < InstanceCount; ++Number) {
        if (!involves(Before[Number], Dead))
          CPPUNIT_ASSERT(Before[Number] == After[Number]);
        // The successor already has state of the instance and must take over.
        if (Before[Number].Owner == Dead)
          CPPUNIT_ASSERT(After[Number].Owner == Before[Number].Successor);
        CPPUNIT_ASSERT(!involves(After[Number], Dead));
      }
    }
  }

  // Guards against two owners of an instance, or none, because hosts received
  // the membership changes in different orders.
  void resultIsIndependentOfTheOrder() {
    for (int Round = 0; Round < 20; ++Round) {
      std::vector<std::pair<host_id, time_point>> Additions;
      for (std::size_t Number = 0; Number < HostCount; ++Number)
        Additions.emplace_back(
            hostName(Number),
            Now + std::chrono::milliseconds(Random.below(6000)));
      const time_point Later =
          Now + std::chrono::milliseconds(6000 + Random.below(3000));
      const auto First = mapAfter(Additions, Later);
      std::reverse(Additions.begin(), Additions.end());
      const auto Second = mapAfter(Additions, Later);
      CPPUNIT_ASSERT(First == Second);
    }
  }

  // Guards against requests sent to a new host before all other hosts know it.
  void newHostOwnsNothingBeforeItsDelay() {
    ownership_map Map = settledMap();
    const host_id New("host-new");
    CPPUNIT_ASSERT(Map.addHost(New, Centres[0], Now, Now).empty());
    CPPUNIT_ASSERT(Map.nextTick() == Now + 2s);
    CPPUNIT_ASSERT(Map.tick(Now + 2s - 1ns).empty());
    const ownership_changes Changes = Map.tick(Now + 2s);
    CPPUNIT_ASSERT(!Changes.empty());
    for (const ownership_change &Change : Changes)
      CPPUNIT_ASSERT(involves(Change.After, New));
    CPPUNIT_ASSERT(!Map.nextTick().has_value());
  }

  // Guards against a data centre without owners during the takeover delay of 2
  // s after its first hosts started.
  void firstHostsOwnImmediately() {
    ownership_map Map({.Self = hostName(0)});
    Map.addInstance(instanceName(0), Centres[0]);
    CPPUNIT_ASSERT(Map.find(instanceName(0)).Owner.empty());
    Map.addHost(hostName(0), Centres[0], Now, Now);
    CPPUNIT_ASSERT_EQUAL(hostName(0), Map.find(instanceName(0)).Owner);
    CPPUNIT_ASSERT(Map.find(instanceName(0)).Successor.empty());
    Map.addHost(hostName(1), Centres[0], Now + 1s, Now + 1s);
    CPPUNIT_ASSERT(!Map.find(instanceName(0)).Successor.empty());
  }

  // Guards against changes of ownership that are not reported: the owner would
  // not learn that it gained or lost an instance.
  void everyMoveIsReported() {
    ownership_map Map = settledMap();
    std::unordered_map<backend_server_id, ownership> Mirror;
    for (std::size_t Number = 0; Number < InstanceCount; ++Number)
      Mirror[instanceName(Number)] = Map.find(instanceName(Number));
    for (int Step = 0; Step < 200; ++Step) {
      const std::size_t Number = Random.below(HostCount);
      Now += std::chrono::milliseconds(Random.below(1500));
      ownership_changes Changes = Map.tick(Now);
      const ownership_changes More =
          Random.chance(0.5)
              ? Map.removeHost(hostName(Number), Now)
              : Map.addHost(hostName(Number), centreOf(Number), Now, Now);
      Changes.insert(Changes.end(), More.begin(), More.end());
      for (const ownership_change &Change : Changes) {
        CPPUNIT_ASSERT(Mirror[Change.Instance] == Change.Before);
        Mirror[Change.Instance] = Change.After;
      }
      for (const auto &[Name, Entry] : Mirror)
        CPPUNIT_ASSERT(Map.find(Name) == Entry);
    }
  }

  // Guards against a score that gives most instances to a few hosts, and
  // against differences between `owned`, `succeeded` and `find`.
  void instancesAreSpreadOverHosts() {
    for (std::size_t Number = 0; Number < HostCount; ++Number) {
      const ownership_map Map = settledMap(hostName(Number));
      const std::size_t Owned = Map.owned().size();
      // The mean is 12.5; 40 is 8 standard deviations above it.
      CPPUNIT_ASSERT(Owned < 40);
      for (const backend_server_id &Name : Map.owned())
        CPPUNIT_ASSERT_EQUAL(hostName(Number), Map.find(Name).Owner);
      for (const backend_server_id &Name : Map.succeeded())
        CPPUNIT_ASSERT_EQUAL(hostName(Number), Map.find(Name).Successor);
    }
  }

  // Guards against state of a removed host that is applied to the host that
  // reuses its position.
  void reusedPositionIsAnotherHost() {
    ownership_map Map = settledMap();
    const host_ref Old = Map.refOf(hostName(0));
    Map.removeHost(hostName(0), Now);
    Map.addHost(host_id("host-new"), Centres[0], Now, Now);
    CPPUNIT_ASSERT(!Map.isLive(Old));
    CPPUNIT_ASSERT(Map.isLive(Map.refOf(host_id("host-new"))));
    CPPUNIT_ASSERT(!Map.refOf(hostName(0)).valid());
  }

  // Guards against hosts that disagree on which hosts watch the configuration.
  void topHostsAreTheHighestScores() {
    ownership_map Map = settledMap();
    const auto Top = Map.topHosts("configuration", Centres[1], 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Top.size());
    Map.removeHost(Top[0], Now);
    CPPUNIT_ASSERT_EQUAL(Top[1],
                         Map.topHosts("configuration", Centres[1], 1).at(0));
    CPPUNIT_ASSERT(Map.topHosts("key", data_centre_id("none"), 2).empty());
    CPPUNIT_ASSERT_EQUAL(HostCount / 3,
                         Map.topHosts("key", Centres[0], 100).size());
  }

private:
  ownership_map settledMap(const host_id &Self = hostName(0)) {
    ownership_map Map({.Self = Self});
    addInstances(Map);
    for (std::size_t Number = 0; Number < HostCount; ++Number)
      Map.addHost(hostName(Number), centreOf(Number), Now, Now);
    Now += 10s;
    Map.tick(Now);
    return Map;
  }

  static std::vector<ownership>
  mapAfter(const std::vector<std::pair<host_id, time_point>> &Additions,
           time_point Later) {
    ownership_map Map({.Self = hostName(0)});
    addInstances(Map);
    for (std::size_t Place = 0; Place < Additions.size(); ++Place) {
      const std::string &Name = Additions[Place].first.value();
      const std::size_t Number = std::stoul(Name.substr(5));
      Map.addHost(Additions[Place].first, centreOf(Number),
                  Additions[Place].second, Additions[Place].second);
    }
    Map.tick(Later);
    return snapshot(Map);
  }

  random_source Random{1};
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_map_test);
