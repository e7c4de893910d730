// Tests how the engine refuses requests with keys while its configuration is
// not known to be current, and looks keys up again before each attempt.

#include "bw_gateway/engine/engine_fixture_test.h"

#include <set>

using namespace bw;
using namespace bw::engine_test;
using namespace std::chrono_literals;

namespace {

const service_id Diary("diary");
constexpr duration Bound = 5s;
// Boot time is ahead of the engine's time by this from the start.
constexpr duration InitialSuspension = 70s;

gateway_route route(const std::string &Prefix, execution_rule Execution,
                    bool IsPublic = false) {
  return {.Id = route_id(Prefix),
          .VirtualHost = "one.example",
          .Prefix = Prefix,
          .Destinations = {{.Service = Diary}},
          .Execution = Execution,
          .Timeout = 20s,
          .TargetLatency = 1s,
          .MaxAttempts = 3,
          .IsPublic = IsPublic};
}

using key_list = std::vector<std::pair<std::string, std::string>>;

// Pairs name a customer and its key.
std::shared_ptr<const gateway_configuration>
configuration(std::uint64_t Version, const key_list &Keys) {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(Version);
  Result->Routes = {route("/read/", execution_rule::Repeatable),
                    route("/submit/", execution_rule::AtMostOnce),
                    route("/open/", execution_rule::Repeatable, true)};
  std::vector<customer> Customers;
  for (const auto &[Name, Key] : Keys)
    Customers.push_back(customerOf(Name, {Key}));
  Result->Customers = directoryOf(std::move(Customers));
  return Result;
}

} // namespace

class customer_freshness_test : public engine_fixture {
  CPPUNIT_TEST_SUITE(customer_freshness_test);
  CPPUNIT_TEST(refusesKeysUntilAProofIsKnown);
  CPPUNIT_TEST(refusesKeysFromTheBoundOn);
  CPPUNIT_TEST(publicRoutesGoOnWithoutAName);
  CPPUNIT_TEST(nothingIsRefusedWithoutTheSwitch);
  CPPUNIT_TEST(nothingIsRefusedWithoutCustomers);
  CPPUNIT_TEST(suspensionCountsTowardsTheBound);
  CPPUNIT_TEST(aRetryAfterTheBoundIsNotSent);
  CPPUNIT_TEST(aHedgeAfterTheBoundIsNotSent);
  CPPUNIT_TEST(aRetryWithAWithdrawnKeyIsNotSent);
  CPPUNIT_TEST(aWithdrawnKeyDoesNotHideThatARequestMayHaveRun);
  CPPUNIT_TEST(aRetryNamesTheCustomerThatHasTheKeyNow);
  CPPUNIT_TEST(aWithdrawnKeyStaysWithdrawn);
  CPPUNIT_TEST(anExpiredAttemptIsNotTheServersFault);
  CPPUNIT_TEST(saysNoneForGoodWhileANewerVersionIsKnown);
  CPPUNIT_TEST(reportsChangesOfFreshness);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { start(Bound); }

  // Guards against a restarted host that serves a withdrawn key with a version
  // that it got from a host which is behind.
  void refusesKeysUntilAProofIsKnown() {
    configure(1, {{"one", "k1"}});
    const auto Refused = only<refuse_request>(arrive("/read/1", key("k1")));
    CPPUNIT_ASSERT(Refused.Reason == refusal_reason::ConfigurationStale);
    CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
    verify(1);
    CPPUNIT_ASSERT(only<start_attempt>(arrive("/read/1", key("k1"))).Customer ==
                   forwarded_customer{.Name = customer_id("one")});
  }

  // Guards against requests with withdrawn keys after the bound, against a
  // Retry-After that brings all callers back at once, and against a host that
  // does not serve again once it is fresh.
  void refusesKeysFromTheBoundOn() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto Started = only<start_attempt>(arrive("/read/1", key("k1")));
    CPPUNIT_ASSERT(Started.SendBefore == bootNow() + 4800ms);
    advance(4800ms - 1ns);
    CPPUNIT_ASSERT(startsWith<start_attempt>(arrive("/read/1", key("k1"))));
    advance(1ns);
    std::set<duration> Delays;
    for (int Count = 0; Count < 20; ++Count) {
      const auto Refused = only<refuse_request>(arrive("/read/1", key("k1")));
      CPPUNIT_ASSERT(Refused.Reason == refusal_reason::ConfigurationStale);
      Delays.insert(Refused.RetryAfter.value());
    }
    CPPUNIT_ASSERT(Delays.size() > 15);
    // Neither can it be told that an unknown key is unknown everywhere.
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k2"))).Reason ==
                   refusal_reason::ConfigurationStale);
    verify(1);
    CPPUNIT_ASSERT(startsWith<start_attempt>(arrive("/read/1", key("k1"))));
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k2"))).Reason ==
                   refusal_reason::Unauthenticated);
  }

  // Guards against an outage of public routes, and against a customer's name
  // that was taken from a withdrawn key.
  void publicRoutesGoOnWithoutAName() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto Fresh = only<start_attempt>(arrive("/open/1", key("k1")));
    CPPUNIT_ASSERT(Fresh.Customer->Name == customer_id("one"));
    CPPUNIT_ASSERT(Fresh.SendBefore.has_value());
    advance(1h);
    const auto Stale = only<start_attempt>(arrive("/open/1", key("k1")));
    CPPUNIT_ASSERT(Stale.Customer->Name == customer_id());
    CPPUNIT_ASSERT(!Stale.SendBefore);
  }

  void nothingIsRefusedWithoutTheSwitch() {
    start(std::nullopt);
    configure(1, {{"one", "k1"}});
    advance(1h);
    CPPUNIT_ASSERT(
        !only<start_attempt>(arrive("/read/1", key("k1"))).SendBefore);
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k2"))).Reason ==
                   refusal_reason::Unauthenticated);
  }

  void nothingIsRefusedWithoutCustomers() {
    auto Open = std::make_shared<gateway_configuration>(*configuration(1, {}));
    Open->Customers = nullptr;
    handle(configuration_read{Open});
    handle(serversOf(Diary, 5));
    CPPUNIT_ASSERT(!only<start_attempt>(arrive("/read/1", {})).SendBefore);
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/other/1", {})).Reason ==
                   refusal_reason::NoRoute);
  }

  // Guards against a host that was suspended and takes its configuration for
  // fresh, as its steady clock stood still.
  void suspensionCountsTowardsTheBound() {
    configure(1, {{"one", "k1"}});
    verify(1);
    advance(1s);
    handle(time_suspended{.Total = InitialSuspension + 3700ms});
    CPPUNIT_ASSERT(startsWith<start_attempt>(arrive("/read/1", key("k1"))));
    handle(time_suspended{.Total = InitialSuspension + 3800ms});
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k1"))).Reason ==
                   refusal_reason::ConfigurationStale);
    // A smaller total, read between two clocks, does not turn time back.
    handle(time_suspended{.Total = InitialSuspension});
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k1"))).Reason ==
                   refusal_reason::ConfigurationStale);
  }

  // Guards against a request that was admitted before the bound and is sent
  // after it.
  void aRetryAfterTheBoundIsNotSent() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto First = only<start_attempt>(arrive("/submit/1", key("k1")));
    advance(4800ms);
    const auto Refused =
        only<refuse_request>(end(First, attempt_outcome::NotExecuted));
    CPPUNIT_ASSERT(Refused.Reason == refusal_reason::ConfigurationStale);
    CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
  }

  void aHedgeAfterTheBoundIsNotSent() {
    configure(1, {{"one", "k1"}});
    verify(1);
    advance(4500ms);
    const auto First = only<start_attempt>(arrive("/read/1", key("k1")));
    CPPUNIT_ASSERT(advance(3s).empty());
    // The attempt that was sent in time may still be answered.
    CPPUNIT_ASSERT(
        startsWith<relay_answer>(end(First, attempt_outcome::Answered, 200)));
  }

  void aRetryWithAWithdrawnKeyIsNotSent() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto First = only<start_attempt>(arrive("/submit/1", key("k1")));
    handle(configuration_read{configuration(2, {{"one", "k2"}})});
    CPPUNIT_ASSERT(
        only<refuse_request>(end(First, attempt_outcome::NotExecuted)).Reason ==
        refusal_reason::Unauthenticated);
  }

  // Guards against a 401, which says that nothing has run, for a request that
  // may have.
  void aWithdrawnKeyDoesNotHideThatARequestMayHaveRun() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto First = only<start_attempt>(arrive("/read/1", key("k1")));
    handle(configuration_read{configuration(2, {{"one", "k2"}})});
    CPPUNIT_ASSERT(
        only<refuse_request>(end(First, attempt_outcome::Broken)).Reason ==
        refusal_reason::Unknown);
  }

  // Guards against a request that runs in the name of the customer that had the
  // key before.
  void aRetryNamesTheCustomerThatHasTheKeyNow() {
    configure(1, {{"one", "k1"}});
    verify(1);
    const auto First = only<start_attempt>(arrive("/submit/1", key("k1")));
    CPPUNIT_ASSERT(First.Customer->Name == customer_id("one"));
    handle(configuration_read{configuration(2, {{"two", "k1"}})});
    const auto Second =
        only<start_attempt>(end(First, attempt_outcome::NotExecuted));
    CPPUNIT_ASSERT(Second.Customer->Name == customer_id("two"));
  }

  // Guards against an older version, or a proof for it, that brings a key back.
  void aWithdrawnKeyStaysWithdrawn() {
    configure(2, {{"one", "k2"}});
    verify(2);
    handle(configuration_read{configuration(1, {{"one", "k1"}})});
    advance(4s);
    verify(1);
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k1"))).Reason ==
                   refusal_reason::Unauthenticated);
    advance(800ms);
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1", key("k2"))).Reason ==
                   refusal_reason::ConfigurationStale);
  }

  // Guards against servers that are avoided because this host was frozen, and
  // against the loss of a request that can still be sent.
  void anExpiredAttemptIsNotTheServersFault() {
    configure(1, {{"one", "k1"}});
    verify(1);
    for (int Count = 0; Count < 200; ++Count) {
      const auto First = only<start_attempt>(arrive("/submit/1", key("k1")));
      const auto Second =
          only<start_attempt>(end(First, attempt_outcome::Expired));
      CPPUNIT_ASSERT(Second.Attempt != First.Attempt);
      // An answer without latency would make all later ones slow.
      advance(5ms);
      end(Second, attempt_outcome::Answered, 200);
    }
    CPPUNIT_ASSERT_EQUAL(0, Ejections);
    // Without evidence the share is 0.04.
    CPPUNIT_ASSERT(WorstShare < 0.05);
    const auto First = only<start_attempt>(arrive("/submit/1", key("k1")));
    advance(Bound);
    CPPUNIT_ASSERT(
        only<refuse_request>(end(First, attempt_outcome::Expired)).Reason ==
        refusal_reason::ConfigurationStale);
  }

  // Guards against a final error for a key or a route that a version contains
  // which this host has not read yet.
  void saysNoneForGoodWhileANewerVersionIsKnown() {
    for (const std::optional<duration> Each :
         {std::optional(Bound), std::optional<duration>()}) {
      start(Each);
      configure(1, {{"one", "k1"}});
      verify(1);
      handle(newer_version_known{config_version(3)});
      for (std::uint64_t Version = 1; Version < 3; ++Version) {
        handle(configuration_read{configuration(Version, {{"one", "k1"}})});
        CPPUNIT_ASSERT(startsWith<start_attempt>(arrive("/read/1", key("k1"))));
        for (const auto &Out :
             {arrive("/read/1", key("k2")), arrive("/other/1", key("k1"))}) {
          const auto Refused = only<refuse_request>(Out);
          CPPUNIT_ASSERT(Refused.Reason == refusal_reason::ConfigurationStale);
          CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
        }
      }
      handle(configuration_read{configuration(3, {{"one", "k1"}})});
      CPPUNIT_ASSERT(
          only<refuse_request>(arrive("/read/1", key("k2"))).Reason ==
          refusal_reason::Unauthenticated);
      CPPUNIT_ASSERT(
          only<refuse_request>(arrive("/other/1", key("k1"))).Reason ==
          refusal_reason::NoRoute);
    }
  }

  void reportsChangesOfFreshness() {
    configure(1, {{"one", "k1"}});
    CPPUNIT_ASSERT(Changes.empty());
    verify(1);
    advance(4799ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Changes.size());
    CPPUNIT_ASSERT(Changes[0].IsFresh);
    // An idle host notices the bound as well.
    CPPUNIT_ASSERT(Engine->nextDue() == Now + 1ms);
    advance(1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes.size());
    CPPUNIT_ASSERT(!Changes[1].IsFresh);
    CPPUNIT_ASSERT(Changes[1].ProofAge == duration(4800ms));
    CPPUNIT_ASSERT(Engine->nextDue() == time_point::max());
  }

private:
  void start(std::optional<duration> Given) {
    Changes.clear();
    Ejections = 0;
    WorstShare = 0;
    gateway_engine_options Options{.Seed = testSeed(),
                                   .Freshness = {.Bound = Given}};
    Options.Observer.OnFreshness = [this](const freshness_change &Change) {
      Changes.push_back(Change);
    };
    Options.Observer.OnRequest = [this](const request_decision &Decision) {
      WorstShare = std::max(WorstShare, Decision.FailureShare);
    };
    Options.Observer.OnServer = [this](const pool_change &Change) {
      if (Change.Kind == pool_change::kind::Ejected)
        ++Ejections;
    };
    Engine = std::make_unique<gateway_engine>(std::move(Options));
    Now = time_point(100s);
    // As the decide service does.
    AfterEvent = [this](commands &Out) { Engine->tick(Now, Out); };
    handle(time_suspended{.Total = InitialSuspension});
  }

  void configure(std::uint64_t Version, const key_list &Keys) {
    handle(configuration_read{configuration(Version, Keys)});
    handle(serversOf(Diary, 5));
  }

  boot_time_point bootNow() const {
    return boot_time_point(Now.time_since_epoch() + InitialSuspension);
  }

  void verify(std::uint64_t Version) {
    handle(configuration_verified{.Version = config_version(Version),
                                  .CurrentAt = bootNow()});
  }

  gateway_engine::commands arrive(const std::string &Path,
                                  const presented_key &Key) {
    return receive({.Label = request_label("label"),
                    .Path = Path,
                    .CallerTimeout = 20s,
                    .Key = Key});
  }

  std::vector<freshness_change> Changes;
  int Ejections = 0;
  /// The largest share of failures of a server that got an attempt.
  double WorstShare = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_freshness_test);
