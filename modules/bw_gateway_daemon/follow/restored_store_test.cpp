// Tests what a host knows of a store that comes back from an older copy of
// itself and gives out revisions again, in paused time.

#include "bw_gateway_daemon/follow/configuration_follower.h"
#include "bw_gateway_daemon/follow/event_sink_test.h"
#include "bw_gateway_daemon/follow/host_announcement.h"
#include "bw_gateway_daemon/follow/host_follower.h"
#include "bw_gateway_daemon/follow/server_follower.h"

#include "bw_kernel/services/kernel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <mutex>
#include <thread>

using namespace bw;
using namespace std::chrono_literals;

namespace {

store_position at(std::uint64_t Era, std::uint64_t Revision) {
  return {.Era = store_era(Era), .Revision = store_revision(Revision)};
}

listed_server server(const std::string &Name) {
  return {.Server = backend_server_id(Name),
          .Service = service_id("diary"),
          .Slots = slot_count(2),
          .Start = server_start(1)};
}

// Lists of different positions have different servers.
servers_listed listAt(const store_position &Position) {
  return {.Position = Position,
          .Servers = {server("s-" + std::to_string(Position.Era.value()) + "-" +
                             std::to_string(Position.Revision.value()))}};
}

configuration_watch changed(std::uint64_t Version,
                            const store_position &Position) {
  return {.End = watch_end::Changed,
          .Position = Position,
          .Configuration = makeConfiguration(Version)};
}

configuration_watch unchanged(const store_position &Position) {
  return {.End = watch_end::Unchanged, .Position = Position};
}

// Records what a follower asks of the store, and gives scripted answers.
struct scripted_configurations {
  std::mutex Mutex;
  std::deque<configuration_watch> Answers;
  /// Positions watched; nothing for each reading.
  std::vector<std::optional<store_position>> Calls;

  configuration_watch answer(std::optional<store_position> After) {
    const std::lock_guard Guard(Mutex);
    if (Answers.empty())
      return {};
    Calls.push_back(After);
    configuration_watch Result = Answers.front();
    Answers.pop_front();
    return Result;
  }
  bool isOver() {
    const std::lock_guard Guard(Mutex);
    return Answers.empty();
  }
};

} // namespace

class restored_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(restored_store_test);
  CPPUNIT_TEST(answersOfEarlierErasAreNotUsed);
  CPPUNIT_TEST(newerListsAreUsed);
  CPPUNIT_TEST(listsAreFollowedThroughTwoRestores);
  CPPUNIT_TEST(serversMissingFromACopyMayReturn);
  CPPUNIT_TEST(erasAreHandedOn);
  CPPUNIT_TEST(watchesEndWithTheirEra);
  CPPUNIT_TEST(lateAnswersChangeNoConfiguration);
  CPPUNIT_TEST(changesOfAnotherEraAreNotApplied);
  CPPUNIT_TEST(aListThatIsNotUsedIsNotReadWithoutPause);
  CPPUNIT_TEST(conditionsOfAnEarlierEraAreNotSent);
  CPPUNIT_TEST(aHostThatACopyLacksIsAnnouncedAgain);
  CPPUNIT_TEST(lateHostListsAreNotUsed);
  CPPUNIT_TEST(refusalsAreReportedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Clock = std::make_unique<runtime_clock>();
    Clock->pause();
    Clock->advance(1h);
    Kernel = std::make_unique<kernel>();
    Sink = &Kernel->add<event_sink>(*Clock);
    State = &Kernel->add<platform_state>(
        *Clock, platform_state_options{.Self = {.Host = host_id("self")}});
  }
  void tearDown() override {
    Clock->resume();
    Kernel->stop();
    Kernel.reset();
  }

  // Guards against answers that are late, or come from a part of the store that
  // lags behind, and against a store that is not followed any more because one
  // answer names no era.
  void answersOfEarlierErasAreNotUsed() {
    struct {
      std::uint64_t Answered;
      bool IsUsable;
      std::uint64_t Known;
    } const Cases[] = {{0, true, 0}, {1, true, 1},  {1, true, 1}, {0, true, 1},
                       {2, true, 2}, {1, false, 2}, {0, true, 2}, {2, true, 2},
                       {7, true, 7}, {6, false, 7}, {7, true, 7}};
    for (const auto &Case : Cases) {
      CPPUNIT_ASSERT_EQUAL(Case.IsUsable,
                           State->recordEra(store_era(Case.Answered)));
      CPPUNIT_ASSERT_EQUAL(store_era(Case.Known), State->era());
    }
  }

  // Guards against lists that are ignored, or replaced by older ones, because
  // revisions of two eras were compared, or revisions without an era.
  void newerListsAreUsed() {
    struct {
      const char *Name;
      store_position InUse;
      store_position Offered;
      /// When the offered list was read, counted from the one in use.
      duration ReadAfter;
      bool IsOwn;
      bool IsUsed;
    } const Cases[] = {
        {"fewer revisions after a restore", at(1, 100), at(2, 60), 1s, true,
         true},
        {"as many", at(1, 100), at(2, 100), 1s, true, true},
        {"more", at(1, 100), at(2, 140), 1s, true, true},
        {"two restores", at(1, 100), at(3, 20), 1s, true, true},
        {"the next revision", at(2, 60), at(2, 61), 1s, true, true},
        {"the same revision", at(2, 60), at(2, 60), 1s, true, true},
        {"an earlier revision", at(2, 60), at(2, 59), 1s, true, false},
        {"another host's, fewer", at(1, 100), at(2, 60), -1s, false, true},
        {"another host's, as many", at(1, 100), at(2, 100), -1s, false, true},
        {"another host's, more", at(1, 100), at(2, 140), -1s, false, true},
        {"another host's of the era before", at(2, 60), at(1, 100), 1s, false,
         false},
        {"another host's, earlier", at(2, 60), at(2, 59), 1s, false, false},
        {"another host's, later", at(2, 60), at(2, 61), -1s, false, true},
        {"no era any more, own", at(2, 60), at(0, 40), 1s, true, true},
        {"no era yet, own", at(0, 100), at(1, 40), 1s, true, true},
        {"never an era, own", at(0, 100), at(0, 40), 1s, true, true},
        {"no era, another host's, read later", at(2, 60), at(0, 40), 1s, false,
         true},
        {"no era, another host's, read before", at(2, 60), at(0, 400), -1s,
         false, false},
        {"never an era, another host's, read later", at(0, 60), at(0, 40), 1s,
         false, true},
        {"never an era, another host's, read before", at(0, 60), at(0, 400),
         -1s, false, false},
    };
    for (const auto &Case : Cases) {
      tearDown();
      setUp();
      Kernel->start();
      CPPUNIT_ASSERT(State->offerServersRead(listAt(Case.InUse)));
      Clock->advance(2s);
      if (Case.IsOwn)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            Case.Name, Case.IsUsed,
            State->offerServersRead(listAt(Case.Offered)));
      else
        State->offerServers(listAt(Case.Offered), 2s - Case.ReadAfter);
      const store_position Used = Case.IsUsed ? Case.Offered : Case.InUse;
      CPPUNIT_ASSERT_MESSAGE(Case.Name, State->servers()->Position == Used);
    }
  }

  // Guards against an order that holds for one restore only.
  void listsAreFollowedThroughTwoRestores() {
    Kernel->start();
    const store_position Course[] = {at(1, 90), at(1, 100), at(2, 70),
                                     at(2, 85), at(3, 80),  at(3, 81)};
    for (const store_position &Each : Course) {
      Clock->advance(900ms);
      CPPUNIT_ASSERT(State->recordEra(Each.Era));
      CPPUNIT_ASSERT(State->offerServersRead(listAt(Each)));
      CPPUNIT_ASSERT_EQUAL(Each, State->servers()->Position);
    }
    // Lists that other hosts still have.
    for (const store_position &Each : Course)
      State->offerServers(listAt(Each), 0s);
    CPPUNIT_ASSERT_EQUAL(at(3, 81), State->servers()->Position);
  }

  // Guards against servers that are dropped, with all that is known of them,
  // because they registered after the copy was made.
  void serversMissingFromACopyMayReturn() {
    Kernel->start();
    const auto IsAfterOutage = [&](const store_position &Position) {
      Clock->advance(900ms);
      State->offerServersRead(listAt(Position));
      return Sink
          ->waitFor<servers_listed>([&](const servers_listed &Each) {
            return Each.Position == Position;
          })
          .IsAfterOutage;
    };
    CPPUNIT_ASSERT(!IsAfterOutage(at(0, 5)));
    CPPUNIT_ASSERT(!IsAfterOutage(at(1, 5)));
    CPPUNIT_ASSERT(!IsAfterOutage(at(1, 6)));
    CPPUNIT_ASSERT(IsAfterOutage(at(2, 4)));
    CPPUNIT_ASSERT(!IsAfterOutage(at(2, 5)));
  }

  // Guards against hosts that do not follow the store and go on with the era
  // before.
  void erasAreHandedOn() {
    Kernel->start();
    State->heard(host_id("other"), {.Era = store_era(2)});
    CPPUNIT_ASSERT_EQUAL(store_era(2), State->ownState().Era);
    CPPUNIT_ASSERT(!State->recordEra(store_era(1)));
    State->heard(host_id("other"), {});
    State->heard(host_id("third"), {.Era = store_era(1)});
    CPPUNIT_ASSERT_EQUAL(store_era(2), State->era());
    State->offerServers(listAt(at(4, 9)), 0s);
    CPPUNIT_ASSERT_EQUAL(store_era(4), State->ownState().Era);
    CPPUNIT_ASSERT_EQUAL(at(4, 9), State->ownState().ListPosition);
  }

  // Guards against a configuration that is never noticed: its revision is below
  // the one that is watched, and the store has passed that in the meantime.
  void watchesEndWithTheirEra() {
    struct {
      const char *Name;
      configuration_watch Answer;
      bool IsReadAgain;
    } const Cases[] = {
        {"unchanged, the same era", unchanged(at(1, 100)), false},
        {"changed, the same era", changed(2, at(1, 101)), false},
        {"unchanged, fewer revisions", unchanged(at(2, 60)), true},
        {"unchanged, as many", unchanged(at(2, 100)), true},
        {"unchanged, more", unchanged(at(2, 140)), true},
        {"changed, more", changed(2, at(2, 140)), true},
        {"two restores", changed(2, at(3, 140)), true},
        {"no era any more", unchanged(at(0, 100)), true},
        {"gone", {.End = watch_end::HistoryGone, .Position = at(2, 0)}, true},
    };
    for (const auto &Case : Cases) {
      tearDown();
      setUp();
      scripted_configurations Store;
      Store.Answers = {changed(1, at(1, 100)), Case.Answer,
                       changed(3, at(Case.Answer.Position.Era.value(), 150))};
      followConfigurations(Store);
      const auto &Next = Store.Calls.at(2);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.IsReadAgain,
                                   !Next.has_value());
      CPPUNIT_ASSERT(State->configuration()->Version == config_version(3));
    }
    // A store without eras shows a restore by its revisions only.
    tearDown();
    setUp();
    scripted_configurations Store;
    Store.Answers = {changed(1, at(0, 100)), unchanged(at(0, 60)),
                     changed(3, at(0, 61))};
    followConfigurations(Store);
    CPPUNIT_ASSERT(!Store.Calls.at(2));
  }

  // Guards against an answer of the era before that arrives after one of the
  // present era.
  void lateAnswersChangeNoConfiguration() {
    scripted_configurations Store;
    State->recordEra(store_era(2));
    Store.Answers = {changed(4, at(1, 100)), changed(3, at(2, 60)),
                     changed(9, at(1, 101))};
    followConfigurations(Store);
    CPPUNIT_ASSERT(State->configuration()->Version == config_version(3));
    // Each of them counts as no answer, so that the object is read.
    CPPUNIT_ASSERT(!Store.Calls.at(1) && Store.Calls.at(2) == at(2, 60));
  }

  // Guards against a list that is pieced together from two histories.
  void changesOfAnotherEraAreNotApplied() {
    std::mutex Mutex;
    std::uint64_t Era = 1;
    int FullReads = 0;
    followServers({.ReadServers =
                       [&] {
                         const std::lock_guard Guard(Mutex);
                         ++FullReads;
                         return servers_reading{.List = listAt(at(Era, 50)),
                                                .Calls = 4};
                       },
                   .ReadServerChanges =
                       [&](store_position After, const known_server_check &) {
                         const std::lock_guard Guard(Mutex);
                         CPPUNIT_ASSERT_EQUAL(store_era(Era), After.Era);
                         // The second call is answered by the restored store.
                         Era = 2;
                         return servers_watch{
                             .End = watch_end::Changed,
                             .Position = at(2, 80),
                             .Changes = {{server("x").Server, server("x")}}};
                       }});
    advanceUntil([&] { return State->era() == store_era(2); });
    advanceUntil(
        [&] { return State->servers()->Position.Era == store_era(2); });
    CPPUNIT_ASSERT_EQUAL(at(2, 50), State->servers()->Position);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State->servers()->Servers.size());
    Kernel->stop();
    CPPUNIT_ASSERT_EQUAL(2, FullReads);
  }

  // Guards against calls without pause while lists of the store are not used:
  // 250 a second were seen.
  void aListThatIsNotUsedIsNotReadWithoutPause() {
    std::atomic<int> Reads = 0;
    followServers({.ReadServers = [&] {
      return servers_reading{.List = listAt(at(1, ++Reads == 1 ? 100 : 60))};
    }});
    for (int Count = 0; Count < 40; ++Count) {
      Clock->advance(50ms);
      std::this_thread::sleep_for(2ms);
    }
    // Three seconds with a pause of 250 ms after each.
    CPPUNIT_ASSERT(Reads >= 2 && Reads <= 14);
  }

  // Guards against a conditional write whose revision the store has given out
  // again for another change.
  void conditionsOfAnEarlierEraAreNotSent() {
    struct {
      const char *Name;
      std::uint64_t Known;
      host_write Created;
      host_write Replaced;
      bool IsSent;
      bool IsDone;
    } const Cases[] = {
        {"the present era", 2, conflict(2), written(2), true, true},
        {"a new era", 1, conflict(2), written(2), true, true},
        {"no era", 0, conflict(0), written(0), true, true},
        {"an earlier era", 2, conflict(1), written(2), false, false},
        {"created in an earlier era", 2, written(1), written(2), false, false},
        {"a restore before the write", 1, conflict(1), written(2), true, true},
        {"a conflict after a restore", 1, conflict(1), conflict(2), true,
         false},
        {"a late answer to the write", 2, conflict(2), written(1), true, false},
        {"no answer to the write", 2, conflict(2), {}, true, false},
    };
    for (const auto &Case : Cases) {
      tearDown();
      setUp();
      State->recordEra(store_era(Case.Known));
      int Sent = 0;
      const platform_source Source{
          .CreateHost = [&](const gateway_host &) { return Case.Created; },
          .ReplaceHost =
              [&](const gateway_host &, store_position Expected) {
                CPPUNIT_ASSERT(Expected == Case.Created.StoredPosition);
                ++Sent;
                return Case.Replaced;
              }};
      const bool IsDone =
          announceHost(Source, State->self(),
                       [&](store_era Era) { return State->recordEra(Era); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.IsDone, IsDone);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.IsSent, Sent == 1);
    }
  }

  // Guards against a host that is missing from the list for many seconds,
  // because reads soon after an announcement may be old.
  void aHostThatACopyLacksIsAnnouncedAgain() {
    std::vector<store_era> Eras;
    std::vector<store_era> Announced;
    const auto Era = [&] { return store_era(Eras.size() < 3 ? 1 : 2); };
    std::mutex Mutex;
    Kernel->add<host_follower>(
        *Clock, host_follower_options{
                    .Source = {.CreateHost =
                                   [&](const gateway_host &) {
                                     const std::lock_guard Guard(Mutex);
                                     Announced.push_back(Era());
                                     return written(Era().value());
                                   },
                               .ReadHosts =
                                   [&] {
                                     const std::lock_guard Guard(Mutex);
                                     Eras.push_back(Era());
                                     return hosts_reading{.Era = Era()};
                                   }},
                    .InitialReads = 4});
    Kernel->start();
    advanceUntil([&] {
      const std::lock_guard Guard(Mutex);
      return Eras.size() >= 4;
    });
    const std::lock_guard Guard(Mutex);
    CPPUNIT_ASSERT(Announced == (std::vector{store_era(1), store_era(2)}));
  }

  // Guards against hosts that are dropped because a read that may be old
  // comes from the era before.
  void lateHostListsAreNotUsed() {
    const gateway_host Other{.Host = host_id("other")};
    std::atomic<int> Reads = 0;
    Kernel->add<host_follower>(
        *Clock,
        host_follower_options{
            .Source = {
                .CreateHost = [](const gateway_host &) { return written(2); },
                .ReadHosts =
                    [&] {
                      return ++Reads == 1 ? hosts_reading{.Hosts = {Other},
                                                          .Era = store_era(2)}
                                          : hosts_reading{.Era = store_era(1)};
                    }}});
    Kernel->start();
    advanceUntil([&] { return Reads >= 4; });
    CPPUNIT_ASSERT(State->hosts() == std::vector{Other});
  }

  // Guards against a refusal that is not reported because its revision was
  // given out before, and against reports of the older version in the copy.
  void refusalsAreReportedAgain() {
    int Reports = 0;
    refusal_reporter Reporter(
        [&](const configuration_refusal &) { ++Reports; });
    struct {
      store_position Position;
      std::uint64_t Version;
      int Reports;
    } const Cases[] = {
        {at(1, 50), 12, 0}, {at(1, 50), 12, 0}, {at(1, 60), 12, 1},
        {at(1, 60), 12, 1}, {at(1, 55), 11, 1}, {at(2, 40), 9, 1},
        {at(2, 41), 12, 1}, {at(2, 50), 12, 2}, {at(1, 70), 13, 2},
        {at(3, 50), 12, 2}, {at(3, 60), 12, 3}, {at(0, 60), 12, 4},
        {at(0, 60), 12, 4}, {at(0, 40), 11, 5}};
    for (const auto &Case : Cases) {
      Reporter.objectRead("main", Case.Position, config_version(Case.Version));
      CPPUNIT_ASSERT_EQUAL(Case.Reports, Reports);
    }
    const configuration_refusal Malformed{.Object = "main",
                                          .Position = at(3, 61),
                                          .Field = "version",
                                          .Reason = "none"};
    Reporter.report(Malformed);
    Reporter.report(Malformed);
    CPPUNIT_ASSERT_EQUAL(6, Reports);
    configuration_refusal Again = Malformed;
    Again.Position = at(4, 61);
    Reporter.report(Again);
    CPPUNIT_ASSERT_EQUAL(7, Reports);
  }

private:
  static host_write written(std::uint64_t Era) {
    return {.End = host_write_end::Written, .Era = store_era(Era)};
  }
  static host_write conflict(std::uint64_t Era) {
    return {.End = host_write_end::Conflict,
            .Era = store_era(Era),
            .Stored = gateway_host{.Host = host_id("before")},
            .StoredPosition = at(Era, 33)};
  }

  /// Plays all answers of the store.
  void followConfigurations(scripted_configurations &Store) {
    Kernel->add<configuration_follower>(
        *Clock,
        configuration_follower_options{
            .Source = {
                .ReadConfiguration = [&] { return Store.answer(std::nullopt); },
                .WatchConfiguration =
                    [&](store_position After, std::chrono::milliseconds) {
                      return Store.answer(After);
                    }}});
    Kernel->start();
    advanceUntil([&] { return Store.isOver(); });
    Kernel->stop();
  }

  void followServers(platform_source Source) {
    Kernel->add<server_follower>(
        *Clock, server_follower_options{.Source = std::move(Source)});
    Kernel->start();
    Clock->advance(1s);
  }

  /// Moves the time on until a thread of the test has got so far.
  void advanceUntil(const std::function<bool()> &IsTrue) {
    for (int Count = 0; !IsTrue(); ++Count) {
      CPPUNIT_ASSERT_MESSAGE("waited too long", Count < 5000);
      Clock->advance(50ms);
      std::this_thread::sleep_for(1ms);
    }
  }

  std::unique_ptr<runtime_clock> Clock;
  std::unique_ptr<kernel> Kernel;
  event_sink *Sink = nullptr;
  platform_state *State = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_test);
