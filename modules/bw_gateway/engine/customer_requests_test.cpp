// Tests the engine's decisions on requests of customers.

#include "bw_gateway/engine/engine_fixture_test.h"

using namespace bw;
using namespace bw::engine_test;
using namespace std::chrono_literals;

namespace {

gateway_route route(const std::string &Prefix, bool IsPublic) {
  return {.Id = route_id(Prefix),
          .VirtualHost = "one.example",
          .Prefix = Prefix,
          .Destinations = {{.Service = service_id("diary")}},
          .Execution = execution_rule::Repeatable,
          .Timeout = 3s,
          .TargetLatency = 1s,
          .MaxAttempts = 2,
          .IsPublic = IsPublic};
}

// What happens to a request of the county with the key k1 whose first attempt
// ends after the configuration has changed.
struct second_attempt_case {
  const char *Failure;
  attempt_outcome Outcome;
  /// Customer and key of the new configuration; no customers if null.
  const char *Name;
  const char *Key;
  /// Name for the second attempt; null if there is none.
  const char *Forwarded;
  refusal_reason Refusal = refusal_reason::Unknown;
};

const second_attempt_case SecondAttemptCases[] = {
    {"a retry of a valid key is refused", attempt_outcome::NotExecuted,
     "county", "k1", "county"},
    {"a retry uses a withdrawn key", attempt_outcome::NotExecuted, "county",
     "k2", nullptr, refusal_reason::Unauthenticated},
    {"a request that was not sent uses a withdrawn key",
     attempt_outcome::NotSent, "county", "k2", nullptr,
     refusal_reason::Unauthenticated},
    {"a request that may have run is called unauthenticated",
     attempt_outcome::Broken, "county", "k2", nullptr, refusal_reason::Unknown},
    {"a retry names the customer that had the key",
     attempt_outcome::NotExecuted, "state", "k1", "state"},
    {"a retry passes on the key", attempt_outcome::NotExecuted, nullptr,
     nullptr, "county"},
};

configuration_read configuration(std::uint64_t Version, const char *Key,
                                 const char *Name = "county") {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(Version);
  Result->Routes = {route("/own/", false), route("/open/", true)};
  if (Name == nullptr)
    return {Result};
  Result->Customers = directoryOf({customerOf(Name, {Key})});
  return {Result};
}

} // namespace

class customer_requests_test : public engine_fixture {
  CPPUNIT_TEST_SUITE(customer_requests_test);
  CPPUNIT_TEST(withoutConfigurationNobodyIsUnauthenticated);
  CPPUNIT_TEST(unknownKeysReachNoServer);
  CPPUNIT_TEST(allAttemptsNameTheCustomer);
  CPPUNIT_TEST(withdrawnKeysAreRefusedInTheNextRequest);
  CPPUNIT_TEST(keysAreCheckedBeforeEachAttempt);
  CPPUNIT_TEST(decisionsNameCustomerAndReason);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Decisions.clear();
    LastRequest = {};
    Engine = std::make_unique<gateway_engine>(gateway_engine_options{
        .Seed = testSeed(),
        .Observer = {.OnRequest = [this](const request_decision &Each) {
          Decisions.push_back(Each);
        }}});
  }

  // Guards against a final 401 for a valid key at a host that has just started.
  void withoutConfigurationNobodyIsUnauthenticated() {
    for (const char *Key : {"", "k1"}) {
      const auto Refused = only<refuse_request>(arrive("/own/1", Key));
      CPPUNIT_ASSERT(Refused.Reason == refusal_reason::NoConfiguration);
      CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
    }
  }

  // Guards against requests without a known key that use a server, and against
  // a time to come back, which the caller would use in vain.
  void unknownKeysReachNoServer() {
    configure("k1");
    for (const char *Key : {"", "k2"}) {
      const auto Refused = only<refuse_request>(arrive("/own/1", Key));
      CPPUNIT_ASSERT(Refused.Reason == refusal_reason::Unauthenticated);
      CPPUNIT_ASSERT(!Refused.RetryAfter);
      const auto Open = only<start_attempt>(arrive("/open/1", Key));
      CPPUNIT_ASSERT(Open.Customer == forwarded_customer{});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Engine->openRequests());
    // The path of an unknown route is unknown with any key.
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/none/1", "")).Reason ==
                   refusal_reason::NoRoute);
  }

  // Guards against a retry or hedge that passes on the key or no name.
  void allAttemptsNameTheCustomer() {
    configure("k1");
    const forwarded_customer County{.Name = customer_id("county")};
    const auto First = only<start_attempt>(arrive("/own/1", "k1"));
    CPPUNIT_ASSERT(First.Customer == County);
    const auto Second = only<start_attempt>(
        handle(attempt_ended{.Request = First.Request,
                             .Attempt = First.Attempt,
                             .Outcome = attempt_outcome::NotExecuted}));
    CPPUNIT_ASSERT(Second.Customer == County);
  }

  // Guards against keys that outlast the configuration that withdrew them.
  void withdrawnKeysAreRefusedInTheNextRequest() {
    configure("k1");
    only<start_attempt>(arrive("/own/1", "k1"));
    handle(configuration(2, "k2"));
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/own/1", "k1")).Reason ==
                   refusal_reason::Unauthenticated);
    only<start_attempt>(arrive("/own/1", "k2"));
    // An older version must not bring the key back.
    CPPUNIT_ASSERT(handle(configuration(1, "k1")).empty());
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/own/1", "k1")).Reason ==
                   refusal_reason::Unauthenticated);
  }

  // Guards against retries of a request whose key was withdrawn or moved, and
  // against 401 for a request that may have run.
  void keysAreCheckedBeforeEachAttempt() {
    for (const second_attempt_case &Case : SecondAttemptCases) {
      setUp();
      configure("k1");
      const auto First = only<start_attempt>(arrive("/own/1", "k1"));
      handle(configuration(2, Case.Key, Case.Name));
      const auto Out = handle(attempt_ended{.Request = First.Request,
                                            .Attempt = First.Attempt,
                                            .Outcome = Case.Outcome});
      if (Case.Forwarded == nullptr) {
        const auto Refused = only<refuse_request>(Out);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure,
                                     std::string(refusalName(Case.Refusal)),
                                     std::string(refusalName(Refused.Reason)));
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, !Refused.RetryAfter);
        continue;
      }
      const auto Second = only<start_attempt>(Out);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Second.Customer.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Forwarded),
                                   Second.Customer->Name.value());
    }
  }

  // Guards against a log that cannot tell why a request got 401.
  void decisionsNameCustomerAndReason() {
    configure("k1");
    arrive("/own/1", "k1");
    CPPUNIT_ASSERT(Decisions.back().Customer == customer_id("county"));
    arrive("/own/1", "");
    CPPUNIT_ASSERT(Decisions.back().Step == request_step::Refused);
    CPPUNIT_ASSERT(Decisions.back().Customer.empty());
    CPPUNIT_ASSERT(Decisions.back().Key == key_presence::Absent);
    CPPUNIT_ASSERT(Decisions.back().Route == route_id("/own/"));
    CPPUNIT_ASSERT(Decisions.back().Version == config_version(1));
    CPPUNIT_ASSERT(Decisions.back().TimeLeft == 3s);
    arrive("/own/1", "k2");
    CPPUNIT_ASSERT(Decisions.back().Key == key_presence::Present);
  }

private:
  void configure(const char *Key) {
    handle(configuration(1, Key));
    handle(serversOf(service_id("diary"), 3));
  }

  gateway_engine::commands arrive(const std::string &Path,
                                  const std::string &Key) {
    return receive({.Label = request_label("label"),
                    .Path = Path,
                    .CallerTimeout = 8s,
                    .Key = Key.empty() ? presented_key() : key(Key)});
  }

  std::vector<request_decision> Decisions;
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_requests_test);
