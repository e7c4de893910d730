#include "bw_membership/hosts/membership_view.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

host_id hostName(std::size_t Index) {
  return host_id("host-" + std::to_string(Index));
}

/// Views connected by a simulated lossy network. Time advances in steps of 20
/// ms, and a message takes one step.
class view_network {
public:
  explicit view_network(std::size_t Hosts, double Loss = 0.05)
      : Loss(Loss), Random(testSeed()), Paused(Hosts), Stopped(Hosts) {
    std::vector<listed_host> List;
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      List.push_back({hostName(Index), dataCentre(Index), host_state::Live});
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      add(Index, Index + 100);
      handle(Index, Views[Index]->updateHostList(List, Now));
    }
  }

  data_centre_id dataCentre(std::size_t Index) const {
    return data_centre_id(Index % 4 == 0 ? "a" : "b");
  }
  void add(std::size_t Index, std::uint64_t Incarnation,
           start_order Started = start_order(1)) {
    Views.resize(std::max(Views.size(), Index + 1));
    Views[Index] = std::make_unique<membership_view>(
        daemon_id{hostName(Index), incarnation_id(Incarnation)},
        dataCentre(Index), Started);
  }
  void run(duration Time) {
    const time_point End = Now + Time;
    for (; Now < End; Now += 20ms)
      step();
  }
  void handle(std::size_t From, const membership_step &Step) {
    for (const membership_event &Event : Step.Events)
      Events.push_back({From, Event});
    for (const membership_message &Message : Step.Messages)
      send(From, Message);
  }
  std::size_t count(membership_change Change, std::size_t About) const {
    return std::count_if(Events.begin(), Events.end(), [&](const auto &Event) {
      return Event.second.Change == Change &&
             Event.second.Daemon.Host == hostName(About);
    });
  }
  std::size_t count(membership_change Change) const {
    return std::count_if(Events.begin(), Events.end(), [&](const auto &Event) {
      return Event.second.Change == Change;
    });
  }

  double Loss;
  random_source Random;
  time_point Now{};
  std::vector<std::unique_ptr<membership_view>> Views;
  std::vector<bool> Paused;
  std::vector<bool> Stopped;
  std::function<bool(std::size_t, std::size_t)> Blocked;
  std::vector<std::pair<std::size_t, membership_event>> Events;
  std::size_t Bytes = 0;

private:
  void send(std::size_t From, const membership_message &Message) {
    Bytes += Message.Heartbeats.size() * HeartbeatBytes;
    const std::size_t To = std::stoul(Message.To.value().substr(5));
    if (!Random.chance(Loss) && !(Blocked && Blocked(From, To)))
      InTransit.emplace_back(To, Message);
  }
  void step() {
    std::vector<std::pair<std::size_t, membership_message>> Arriving;
    Arriving.swap(InTransit);
    for (std::size_t Index = 0; Index < Views.size(); ++Index)
      if (!Paused[Index] && !Stopped[Index])
        handle(Index, Views[Index]->tick(Now, Random));
    for (const auto &[To, Message] : Arriving) {
      if (Paused[To])
        InTransit.emplace_back(To, Message);
      else if (!Stopped[To])
        handle(To, Views[To]->receive(Message, Now, Random));
    }
  }

  std::vector<std::pair<std::size_t, membership_message>> InTransit;
};

heartbeat makeHeartbeat(std::uint64_t Incarnation, std::uint64_t Sequence,
                        std::uint64_t Started = 1,
                        host_state State = host_state::Live) {
  heartbeat Heartbeat;
  Heartbeat.Daemon = {hostName(1), incarnation_id(Incarnation)};
  Heartbeat.DataCentre = data_centre_id("a");
  Heartbeat.Started = start_order(Started);
  Heartbeat.Sequence = sequence_number(Sequence);
  Heartbeat.State = State;
  return Heartbeat;
}

} // namespace

class membership_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_view_test);
  CPPUNIT_TEST(oldHeartbeatsAreIgnored);
  CPPUNIT_TEST(hostListMayBeOutdated);
  CPPUNIT_TEST(messageLossCausesNoDeaths);
  CPPUNIT_TEST(deathReachesAllHosts);
  CPPUNIT_TEST(oneWayPartitionCausesNoDeaths);
  CPPUNIT_TEST(ownPauseCausesNoFalseDeaths);
  CPPUNIT_TEST(leavingAndRestartTakeEffect);
  CPPUNIT_TEST(trafficStaysSmallAtDesignSize);
  CPPUNIT_TEST_SUITE_END();

public:
  void oldHeartbeatsAreIgnored() {
    struct fault_case {
      const char *GuardsAgainst;
      heartbeat First;
      heartbeat Second;
      heartbeat Kept;
    };
    const auto Leaving = host_state::Leaving;
    const fault_case Cases[] = {
        {"an older heartbeat that arrives after a newer one",
         makeHeartbeat(5, 9), makeHeartbeat(5, 8), makeHeartbeat(5, 9)},
        {"an earlier incarnation with a higher sequence",
         makeHeartbeat(5, 1, 2), makeHeartbeat(4, 99, 1),
         makeHeartbeat(5, 1, 2)},
        {"a restart that is ignored", makeHeartbeat(5, 99, 1),
         makeHeartbeat(6, 1, 2), makeHeartbeat(6, 1, 2)},
        {"leaving that is revoked by the same incarnation",
         makeHeartbeat(5, 1, 1, Leaving), makeHeartbeat(5, 2),
         makeHeartbeat(5, 2, 1, Leaving)},
        {"leaving that persists after a restart",
         makeHeartbeat(5, 1, 1, Leaving), makeHeartbeat(6, 1, 2),
         makeHeartbeat(6, 1, 2)},
    };
    for (const fault_case &Case : Cases) {
      random_source Random(testSeed());
      membership_view View({hostName(0), incarnation_id(1)},
                           data_centre_id("a"), start_order(1));
      View.receive({hostName(0), {Case.First}, false}, {}, Random);
      View.receive({hostName(0), {Case.Second}, false}, {}, Random);
      const heartbeat Known = View.present().at(0);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst,
                             Known.Daemon == Case.Kept.Daemon &&
                                 Known.Sequence == Case.Kept.Sequence &&
                                 Known.State == Case.Kept.State);
    }
  }

  void hostListMayBeOutdated() {
    random_source Random(testSeed());
    membership_view View({hostName(0), incarnation_id(1)}, data_centre_id("a"),
                         start_order(1));
    const listed_host Live{hostName(1), data_centre_id("a"), host_state::Live};
    listed_host Leaving = Live;
    Leaving.State = host_state::Leaving;
    const auto Receive = [&](const heartbeat &Heartbeat) {
      View.receive({hostName(0), {Heartbeat}, false}, {}, Random);
    };
    // A listed host without a heartbeat gets no requests.
    View.updateHostList({Live}, {});
    CPPUNIT_ASSERT(View.usable().empty());
    Receive(makeHeartbeat(5, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), View.usable().size());
    // A host that is no longer listed is dead until a newer heartbeat arrives.
    View.updateHostList({}, {});
    Receive(makeHeartbeat(5, 1));
    CPPUNIT_ASSERT(View.present().empty());
    Receive(makeHeartbeat(5, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), View.usable().size());
    // An outdated replica of the list does not remove it again with each read.
    View.updateHostList({}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), View.usable().size());
    // Leaving takes effect immediately, and a list that shows the host as live
    // again does not revoke it.
    View.updateHostList({Leaving}, {});
    View.updateHostList({Live}, {});
    Receive(makeHeartbeat(5, 3));
    CPPUNIT_ASSERT(View.usable().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), View.present().size());
  }

  // Guards against hosts that are declared dead because of message loss alone.
  void messageLossCausesNoDeaths() {
    view_network Network(32);
    Network.run(10min);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Network.count(membership_change::Dead));
    for (const auto &View : Network.Views)
      CPPUNIT_ASSERT_EQUAL(std::size_t(31), View->usable().size());
  }

  // Guards against entry hosts that do not learn of a death and keep using the
  // dead host as owner.
  void deathReachesAllHosts() {
    view_network Network(32);
    Network.run(10s);
    Network.Stopped[5] = true;
    // The last heartbeats may have been lost, so the host may be declared dead
    // earlier than 5 s after it stopped.
    Network.run(1900ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Network.count(membership_change::Dead));
    Network.run(7s);
    CPPUNIT_ASSERT(Network.count(membership_change::Suspected, 5) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Dead, 5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Dead));
  }

  // Guards against an observer that declares a host dead although other hosts
  // receive its heartbeats.
  void oneWayPartitionCausesNoDeaths() {
    view_network Network(32);
    Network.run(10s);
    Network.Blocked = [](std::size_t From, std::size_t To) {
      return From == 5 && (To % 2 == 0 || To == 6);
    };
    Network.run(2min);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Network.count(membership_change::Dead));
  }

  // Guards against a host that declares all others dead after its own pause.
  void ownPauseCausesNoFalseDeaths() {
    view_network Network(32);
    Network.run(10s);
    Network.Paused[5] = true;
    Network.run(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Dead, 5));
    Network.Paused[5] = false;
    Network.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Dead));
    for (const auto &View : Network.Views)
      CPPUNIT_ASSERT_EQUAL(std::size_t(31), View->usable().size());
  }

  // Guards against requests to a host that announced its stop, and against
  // ignoring a restarted host whose clock was set back.
  void leavingAndRestartTakeEffect() {
    view_network Network(32);
    Network.run(10s);
    Network.handle(5, Network.Views[5]->announceLeaving(Network.Now));
    Network.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Left, 5));
    Network.add(5, 999, start_order(0));
    std::vector<listed_host> Seeds{
        {hostName(1), Network.dataCentre(1), host_state::Live}};
    Network.handle(5, Network.Views[5]->updateHostList(Seeds, Network.Now));
    Network.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(31),
                         Network.count(membership_change::Restarted, 5));
  }

  // Guards against traffic that grows with the number of hosts: all control
  // messages of a daemon together may use 2 KB a second.
  void trafficStaysSmallAtDesignSize() {
    view_network Network(670, 0);
    membership_message FullView;
    FullView.IsFullView = true;
    for (const auto &View : Network.Views)
      FullView.Heartbeats.push_back(View->own());
    for (const auto &View : Network.Views)
      View->receive(FullView, Network.Now, Network.Random);
    Network.run(5s);
    Network.Bytes = 0;
    Network.run(10s);
    const std::size_t PerHostAndSecond = Network.Bytes / 670 / 10;
    CPPUNIT_ASSERT(PerHostAndSecond < 1'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Network.count(membership_change::Dead));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_view_test);
