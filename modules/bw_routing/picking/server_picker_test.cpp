#include "bw_routing/picking/server_picker.h"

#include "bw_routing/routing_error.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <unordered_map>
#include <unordered_set>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const data_centre_id Own("own");
const data_centre_id Far("far");
const service_id Service("filing-desk");
const request_kind Lookup("lookup");

backend_server_id serverName(int Number) {
  return backend_server_id("server-" + std::to_string(Number));
}

/// Servers 0 to 3 are in the own data centre, 4 to 7 in the other one.
constexpr int OwnCount = 4;
constexpr int ServerCount = 8;

} // namespace

class server_picker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_picker_test);
  CPPUNIT_TEST(spillsOverOnlyWithoutFreeSlots);
  CPPUNIT_TEST(instancesWithoutAnswersArePicked);
  CPPUNIT_TEST(queuesOnlyWhenOthersAreFull);
  CPPUNIT_TEST(prefersFreeSlots);
  CPPUNIT_TEST(reportedLackOfSlotsExpires);
  CPPUNIT_TEST(aServerWithAnOldScoreIsPickedAgain);
  CPPUNIT_TEST(timedOutOwnerIsBypassed);
  CPPUNIT_TEST(slowOwnerOpensItsCircuit);
  CPPUNIT_TEST(notOwnerRedirects);
  CPPUNIT_TEST(openCircuitsAreUsedAsLastResort);
  CPPUNIT_TEST(refusalsGiveTheReason);
  CPPUNIT_TEST(exclusionIsPerKind);
  CPPUNIT_TEST(findsTheOnlyEligibleOfMany);
  CPPUNIT_TEST(neverPicksForbiddenInstances);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Random = random_source(testSeed());
    Map = std::make_unique<ownership_map>(
        ownership_options{.Self = host_id("own-0")});
    for (const data_centre_id &Centre : {Own, Far})
      for (int Number = 0; Number < 4; ++Number)
        Map->addHost(host_id(Centre.value() + "-" + std::to_string(Number)),
                     Centre, Now, Now);
    Picker = std::make_unique<server_picker>(
        *Map, server_picker_options{.OwnDataCentre = Own});
    for (int Number = 0; Number < ServerCount; ++Number) {
      const data_centre_id &Centre = Number < OwnCount ? Own : Far;
      Map->addInstance(serverName(Number), Centre);
      Picker->addInstance({serverName(Number), Service, Centre, slot_count(2)});
    }
  }

  // Guards against forwards to another data centre, whose added latency is too
  // high while the own one has free slots, and against refusing or queueing
  // requests while another data centre has free slots.
  void spillsOverOnlyWithoutFreeSlots() {
    for (int Count = 0; Count < OwnCount * 2; ++Count)
      CPPUNIT_ASSERT(isOwn(picked()));
    const server_pick Spilled = picked();
    CPPUNIT_ASSERT(!isOwn(Spilled));
    CPPUNIT_ASSERT(Spilled.HasFreeSlot);
    for (int Count = 1; Count < OwnCount * 2; ++Count)
      picked();
    const server_pick Queued = picked();
    CPPUNIT_ASSERT(isOwn(Queued));
    CPPUNIT_ASSERT(!Queued.HasFreeSlot);
  }

  // Guards against an instance that gets no requests because it has not
  // answered one yet.
  void instancesWithoutAnswersArePicked() {
    std::set<std::string> Seen;
    for (int Count = 0; Count < OwnCount; ++Count)
      answer(picked(), 1);
    for (int Count = 0; Count < 40; ++Count)
      Seen.insert(picked().Instance.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(ServerCount), Seen.size());
  }

  // Guards against requests that queue at full instances beside idle ones, that
  // are offered from owner to owner without end, or that may not queue although
  // no instance has a free slot.
  void queuesOnlyWhenOthersAreFull() {
    CPPUNIT_ASSERT(!picked().MayWait);
    pick_request Request{.Service = Service, .OffersWithoutSlot = 2};
    CPPUNIT_ASSERT(
        std::get<server_pick>(Picker->pick(Request, Now, Random)).MayWait);
    Request.OffersWithoutSlot = 1;
    for (int Number = 0; Number < ServerCount; ++Number)
      reportFree(Number, 0);
    CPPUNIT_ASSERT(
        std::get<server_pick>(Picker->pick(Request, Now, Random)).MayWait);
  }

  void prefersFreeSlots() {
    for (int Number = 0; Number < OwnCount; ++Number)
      reportFree(Number, Number == 2 ? 2 : 1);
    int Best = 0;
    for (int Count = 0; Count < 100; ++Count) {
      const server_pick Pick = picked();
      Best += Pick.Instance == serverName(2) ? 1 : 0;
      reportFree(numberOf(Pick), Pick.Instance == serverName(2) ? 2 : 1);
    }
    // The best of 4 instances is one of the two drawn in half of the picks.
    CPPUNIT_ASSERT(Best > 30);
  }

  // Guards against an instance that gets no requests after it was once full.
  void reportedLackOfSlotsExpires() {
    reportFree(0, 0);
    CPPUNIT_ASSERT_EQUAL(0.0F, Picker->freeSlots(serverName(0), Now));
    CPPUNIT_ASSERT_EQUAL(1.0F, Picker->freeSlots(serverName(0), Now + 500ms));
    CPPUNIT_ASSERT_EQUAL(2.0F, Picker->freeSlots(serverName(0), Now + 1h));
  }

  // Guards against a sound server that gets no request of an entry host because
  // of a score that its owner reported long ago.
  void aServerWithAnOldScoreIsPickedAgain() {
    Picker->finished({.Instance = serverName(0),
                      .Started = Now,
                      .FreeSlots = slot_count(2),
                      .Score = 10},
                     Now);
    int Picked = 0;
    for (int Count = 0; Count < 400; ++Count) {
      Now += 100ms;
      const server_pick Pick = picked();
      Picked += Pick.Instance == serverName(0) ? 1 : 0;
      answer(Pick, 2);
    }
    CPPUNIT_ASSERT(Picked > 0);
  }

  // Guards against a one-way partition between entry host and owner that cuts
  // off an instance: requests must reach it through the successor.
  void timedOutOwnerIsBypassed() {
    const ownership Owners = Map->find(serverName(0));
    timeOut(Owners.Owner, 2);
    CPPUNIT_ASSERT(Picker->isCircuitOpen(Owners.Owner, Now));
    const server_pick Pick = pickOnly(0);
    CPPUNIT_ASSERT_EQUAL(Owners.Successor, Pick.Target);
    CPPUNIT_ASSERT(Pick.BypassesOwner);
    Now += 1s;
    CPPUNIT_ASSERT_EQUAL(Owners.Owner, pickOnly(0).Target);
    CPPUNIT_ASSERT_EQUAL(Owners.Successor, pickOnly(0).Target);
  }

  void slowOwnerOpensItsCircuit() {
    const ownership Owners = Map->find(serverName(0));
    for (int Count = 0; Count < 1000; ++Count)
      finish(Owners.Successor, owner_outcome::Answered, 1ms);
    for (int Count = 0; Count < 6; ++Count)
      finish(Owners.Owner, owner_outcome::Answered, 50ms);
    CPPUNIT_ASSERT(Picker->isCircuitOpen(Owners.Owner, Now));
    CPPUNIT_ASSERT(!Picker->isCircuitOpen(Owners.Successor, Now));
  }

  void notOwnerRedirects() {
    const ownership Owners = Map->find(serverName(0));
    Picker->notOwner(serverName(0), Owners.Owner, Owners.Successor, Now);
    CPPUNIT_ASSERT_EQUAL(Owners.Successor, pickOnly(0).Target);
    Now += 10s;
    CPPUNIT_ASSERT_EQUAL(Owners.Owner, pickOnly(0).Target);
    // An owner that names a dead host must not make the instance unreachable.
    Picker->notOwner(serverName(0), Owners.Owner, host_id("dead"), Now);
    CPPUNIT_ASSERT_EQUAL(Owners.Successor, pickOnly(0).Target);
  }

  // Guards against refusing requests when the circuits of all owners are open,
  // as after a fault of the entry host's own network.
  void openCircuitsAreUsedAsLastResort() {
    for (const char *Centre : {"own-", "far-"})
      for (int Number = 0; Number < 4; ++Number)
        timeOut(host_id(Centre + std::to_string(Number)), 2);
    CPPUNIT_ASSERT(std::holds_alternative<server_pick>(pick()));
  }

  void refusalsGiveTheReason() {
    CPPUNIT_ASSERT(
        Picker->pick({.Service = service_id("other")}, Now, Random) ==
        pick_result(pick_refusal::UnknownService));
    CPPUNIT_ASSERT(pick(allServers()) == pick_result(pick_refusal::AllTried));
    Picker->setExcluded(Service, Lookup, allServers());
    CPPUNIT_ASSERT(pick() == pick_result(pick_refusal::NoneAvailable));
    Picker->setExcluded(Service, Lookup, {});
    for (const char *Centre : {"own-", "far-"})
      for (int Number = 0; Number < 4; ++Number)
        Map->removeHost(host_id(Centre + std::to_string(Number)), Now);
    CPPUNIT_ASSERT(pick() == pick_result(pick_refusal::NoOwner));
    CPPUNIT_ASSERT_THROW(
        Picker->addInstance({backend_server_id("x"), Service, Own}),
        instance_unknown);
  }

  // Guards against a server that is excluded for one kind of request and gets
  // no requests of other kinds either.
  void exclusionIsPerKind() {
    Picker->setExcluded(Service, Lookup, allServers());
    const pick_request Other{.Service = Service,
                             .Kind = request_kind("declare")};
    CPPUNIT_ASSERT(
        std::holds_alternative<server_pick>(Picker->pick(Other, Now, Random)));
  }

  // Guards against random draws that miss the only eligible instance of a large
  // tier, and against a biased choice among many.
  void findsTheOnlyEligibleOfMany() {
    constexpr int Many = 200;
    const service_id Large("large");
    std::vector<backend_server_id> Names;
    for (int Number = 0; Number < Many; ++Number) {
      Names.emplace_back("large-" + std::to_string(Number));
      Map->addInstance(Names.back(), Own);
      Picker->addInstance({Names.back(), Large, Own, slot_count(100)});
    }
    std::unordered_map<backend_server_id, int> Counts;
    for (int Count = 0; Count < Many * 50; ++Count)
      ++Counts[std::get<server_pick>(Picker->pick({Large}, Now, Random))
                   .Instance];
    CPPUNIT_ASSERT_EQUAL(std::size_t(Many), Counts.size());
    for (const auto &[Name, Count] : Counts)
      CPPUNIT_ASSERT(Count > 30 && Count < 70);
    const backend_server_id Last = Names.back();
    Names.pop_back();
    Picker->setExcluded(Large, Lookup, Names);
    CPPUNIT_ASSERT_EQUAL(
        Last, std::get<server_pick>(Picker->pick({Large, Lookup}, Now, Random))
                  .Instance);
  }

  // Guards against picking leaving, excluded or already tried instances and
  // already tried hosts, in random sequences of outcomes.
  void neverPicksForbiddenInstances() {
    for (int Round = 0; Round < 2000; ++Round) {
      Now += std::chrono::milliseconds(Random.below(50));
      std::unordered_set<backend_server_id> Forbidden;
      const auto Tried = randomServers(Forbidden);
      const auto Excluded = randomServers(Forbidden);
      Picker->setExcluded(Service, Lookup, Excluded);
      const backend_server_id Leaving =
          serverName(static_cast<int>(Random.below(ServerCount)));
      Picker->setLeaving(Leaving, true);
      Forbidden.insert(Leaving);
      const host_id TriedHost[] = {Map->find(serverName(0)).Owner};
      const pick_result Result =
          Picker->pick({Service, Lookup, Tried, TriedHost}, Now, Random);
      Picker->setLeaving(Leaving, false);
      const auto *Pick = std::get_if<server_pick>(&Result);
      CPPUNIT_ASSERT_EQUAL(Forbidden.size() < ServerCount, Pick != nullptr);
      if (Pick == nullptr)
        continue;
      CPPUNIT_ASSERT(!Forbidden.contains(Pick->Instance));
      CPPUNIT_ASSERT(Pick->Target != TriedHost[0]);
      finish(Pick->Target,
             Random.chance(0.3) ? owner_outcome::Failed
                                : owner_outcome::Answered,
             1ms);
    }
  }

private:
  pick_result pick(std::span<const backend_server_id> Tried = {}) {
    return Picker->pick({Service, Lookup, Tried}, Now, Random);
  }
  server_pick picked() { return std::get<server_pick>(pick()); }

  server_pick pickOnly(int Wanted) {
    std::vector<backend_server_id> Others = allServers();
    std::erase(Others, serverName(Wanted));
    return std::get<server_pick>(pick(Others));
  }

  static std::vector<backend_server_id> allServers() {
    std::vector<backend_server_id> Names;
    Names.reserve(ServerCount);
    for (int Number = 0; Number < ServerCount; ++Number)
      Names.push_back(serverName(Number));
    return Names;
  }

  std::vector<backend_server_id>
  randomServers(std::unordered_set<backend_server_id> &Forbidden) {
    std::vector<backend_server_id> Names;
    for (const backend_server_id &Name : allServers())
      if (Random.chance(0.3))
        Names.push_back(Name);
    Forbidden.insert(Names.begin(), Names.end());
    return Names;
  }

  static int numberOf(const server_pick &Pick) {
    return Pick.Instance.value().back() - '0';
  }
  static bool isOwn(const server_pick &Pick) {
    return numberOf(Pick) < OwnCount;
  }

  void finish(const host_id &Target, owner_outcome Outcome, duration Overhead) {
    Picker->finished({.Target = Target,
                      .Outcome = Outcome,
                      .Started = Now,
                      .Overhead = Overhead},
                     Now);
  }
  void timeOut(const host_id &Target, int Times) {
    for (int Count = 0; Count < Times; ++Count)
      finish(Target, owner_outcome::TimedOut, 0ms);
  }
  void answer(const server_pick &Pick, std::uint32_t Free) {
    Picker->finished({.Instance = Pick.Instance,
                      .Target = Pick.Target,
                      .Started = Now,
                      .FreeSlots = slot_count(Free)},
                     Now);
  }
  void reportFree(int Number, std::uint32_t Free) {
    answer({.Instance = serverName(Number)}, Free);
  }

  random_source Random{1};
  time_point Now{100s};
  std::unique_ptr<ownership_map> Map;
  std::unique_ptr<server_picker> Picker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_picker_test);
