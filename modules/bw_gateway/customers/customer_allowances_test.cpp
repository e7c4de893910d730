#include "bw_gateway/engine/engine_fixture_test.h"

#include <set>

using namespace bw;
using namespace bw::engine_test;
using namespace std::chrono_literals;

namespace {

const service_id Service("service");
const customer_id Limited("limited");
const customer_id Free("free");

std::shared_ptr<const gateway_configuration>
configuration(std::uint64_t Version, customer_allowance Allowance) {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(Version);
  Result->Routes = {{.Id = route_id("route"),
                     .VirtualHost = "one.example",
                     .Prefix = "/",
                     .Destinations = {{.Service = Service}},
                     .Execution = execution_rule::Repeatable,
                     .Timeout = 3s,
                     .TargetLatency = 1s,
                     .MaxAttempts = 2,
                     .IsPublic = true}};
  // The name of a customer is its key.
  Result->Customers =
      directoryOf({customerOf(Limited.value(), {Limited.value()}, Allowance),
                   customerOf(Free.value(), {Free.value()})});
  return Result;
}

const customer_allowance Allowance{.Rate = request_rate(10), .Burst = 10};

} // namespace

class customer_allowances_test : public engine_fixture {
  CPPUNIT_TEST_SUITE(customer_allowances_test);
  CPPUNIT_TEST(refusesAboveTheAllowance);
  CPPUNIT_TEST(limitsOnlyWhomTheConfigurationLimits);
  CPPUNIT_TEST(requestsThatNoServerRanCostNothing);
  CPPUNIT_TEST(requestsOfAStoppingHostCostNothing);
  CPPUNIT_TEST(retriesTakeNoSecondToken);
  CPPUNIT_TEST(requestsThatMayHaveRunKeepTheirToken);
  CPPUNIT_TEST(messagesCarryDemandOnlyWithLimits);
  CPPUNIT_TEST(aHostLearnsItsShareFromAnAggregator);
  CPPUNIT_TEST(aShareExpiresWhileTheHostIsSuspended);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Now = time_point(100s);
    Engine = start("self", Allowance);
  }

  // Guards against a limit that bounds nothing, and against callers that come
  // back at once or all together.
  void refusesAboveTheAllowance() {
    listServers();
    int Admitted = 0;
    std::set<duration> Times;
    for (int Step = 0; Step < 100; ++Step) {
      Now += 50ms;
      exchange();
      for (int Count = 0; Count < 10; ++Count) {
        const auto Out = arrive(Limited);
        if (const auto *Refused = std::get_if<refuse_request>(&Out.front())) {
          CPPUNIT_ASSERT(Refused->Reason == refusal_reason::OverAllowance);
          CPPUNIT_ASSERT(Refused->RetryAfter >= duration(100ms) &&
                         Refused->RetryAfter <= duration(6s));
          Times.insert(*Refused->RetryAfter);
          continue;
        }
        ++Admitted;
        end(std::get<start_attempt>(Out.front()), attempt_outcome::Answered,
            200);
      }
    }
    // K8 for 5 s, and nearly all of the rate.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Admitted),
                           Admitted <= (10 * 5 + 10) * 1.1 + 20 &&
                               Admitted >= 45);
    CPPUNIT_ASSERT(Times.size() > 100);
  }

  // Guards against a limit for customers that have none, for requests without
  // a key, and where the settings do not ask for limits.
  void limitsOnlyWhomTheConfigurationLimits() {
    listServers();
    for (int Count = 0; Count < 500; ++Count) {
      CPPUNIT_ASSERT(isSent(arrive(Free)));
      CPPUNIT_ASSERT(isSent(arrive(customer_id("unknown"))));
    }
    Engine = std::make_unique<gateway_engine>(
        gateway_engine_options{.Seed = testSeed()});
    handle(configuration_read{configuration(1, Allowance)});
    listServers();
    for (int Count = 0; Count < 500; ++Count)
      CPPUNIT_ASSERT(isSent(arrive(Limited)));
  }

  // Guards against a customer that pays for an outage of the servers.
  void requestsThatNoServerRanCostNothing() {
    for (int Count = 0; Count < 500; ++Count) {
      CPPUNIT_ASSERT(reasonOf(arrive(Limited)) == refusal_reason::NoServer);
      Now += 20ms;
      if (Count % 4 == 0)
        exchange();
    }
    // Neither does it add tokens.
    listServers();
    CPPUNIT_ASSERT(admittedAtOnce(attempt_outcome::Answered) <= 30);
    setUp();
    listServers();
    for (int Count = 0; Count < 500; ++Count) {
      auto Out = arrive(Limited);
      while (isSent(Out))
        Out = end(std::get<start_attempt>(Out.front()),
                  attempt_outcome::NotExecuted);
      CPPUNIT_ASSERT(reasonOf(Out) == refusal_reason::NotExecuted ||
                     reasonOf(Out) == refusal_reason::NoServer);
    }
  }

  void requestsOfAStoppingHostCostNothing() {
    listServers();
    handle(stop_began{.FinishWithin = 1s});
    for (int Count = 0; Count < 500; ++Count)
      CPPUNIT_ASSERT(reasonOf(arrive(Limited)) == refusal_reason::Stopping);
  }

  // Guards against retries that use up the allowance, and against a token that
  // is returned for each of them.
  void retriesTakeNoSecondToken() {
    listServers();
    const int Answered = admittedAtOnce(attempt_outcome::Answered);
    setUp();
    listServers();
    CPPUNIT_ASSERT(Answered > 0);
    CPPUNIT_ASSERT_EQUAL(Answered, admittedAtOnce(attempt_outcome::Broken));
  }

  // Guards against requests beyond the allowance that servers may have run.
  void requestsThatMayHaveRunKeepTheirToken() {
    listServers();
    int Admitted = 0;
    for (int Count = 0; Count < 500; ++Count) {
      auto Out = arrive(Limited);
      Admitted += isSent(Out) ? 1 : 0;
      while (isSent(Out))
        Out =
            end(std::get<start_attempt>(Out.front()), attempt_outcome::Broken);
    }
    CPPUNIT_ASSERT(Admitted < 20);
  }

  // Guards against longer messages in deployments without limits.
  void messagesCarryDemandOnlyWithLimits() {
    arrive(Limited);
    CPPUNIT_ASSERT(Engine->allowances().hasDemand(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Engine->takeReport(Now).Demands.size());
    CPPUNIT_ASSERT(Engine->takeAggregate(true, Now).Demand);
    CPPUNIT_ASSERT(Engine->takeSummary(true, Now).Demand);
    CPPUNIT_ASSERT(!Engine->takeAggregate(false, Now).Demand);
    CPPUNIT_ASSERT(!Engine->takeSummary(false, Now).Demand);
    Engine = start("self", {});
    arrive(Limited);
    CPPUNIT_ASSERT(!Engine->allowances().isActive());
    CPPUNIT_ASSERT(!Engine->allowances().hasDemand(Now));
    CPPUNIT_ASSERT(Engine->takeReport(Now).Demands.empty());
    CPPUNIT_ASSERT(!Engine->takeAggregate(true, Now).Demand);
    CPPUNIT_ASSERT(!Engine->takeSummary(true, Now).Demand);
  }

  // Guards against shares that do not reach the hosts that need them.
  void aHostLearnsItsShareFromAnAggregator() {
    const auto Aggregator = std::move(Engine);
    Engine = start("other", Allowance);
    handle(exchange_duty{});
    gateway_engine::commands Out;
    Aggregator->handle(hosts_counted{.Hosts = 2, .LocalHosts = 2}, Now, Out);
    handle(hosts_counted{.Hosts = 2, .LocalHosts = 2});
    listServers();
    int Admitted = 0;
    for (int Step = 0; Step < 100; ++Step) {
      Now += 80ms;
      Aggregator->handle(Engine->takeReport(Now), Now, Out);
      Aggregator->takeReport(Now);
      handle(Aggregator->takeAggregate(true, Now));
      for (int Count = 0; Count < 2; ++Count) {
        const auto Result = arrive(Limited);
        if (!isSent(Result))
          continue;
        Admitted += 1;
        end(std::get<start_attempt>(Result.front()), attempt_outcome::Answered,
            200);
      }
    }
    // All of the rate, although the other host has as many shares without
    // demand.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Admitted),
                           Admitted >= 70 && Admitted <= 90 + 20);
  }

  // Guards against a host that goes on with its share after it was suspended.
  void aShareExpiresWhileTheHostIsSuspended() {
    customer_allowances Allowances({.Self = host_id("self"),
                                    .DataCentre = data_centre_id("near"),
                                    .Bounds = allowance_bounds(),
                                    .Seed = testSeed()});
    Allowances.setConfiguration(*configuration(1, Allowance), Now);
    Allowances.setHosts({.Hosts = 100, .LocalHosts = 100}, Now);
    Allowances.take(Limited, Now);
    peer_reported Report{.Host = host_id("self"), .Number = report_number(7)};
    Allowances.addTo(Report, Now);
    Allowances.receive(
        load_aggregate{.Included = {{host_id("self"), report_number(7)}},
                       .Demand = demand_totals{}},
        Now);
    const double Share = Allowances.take(Limited, Now).Share.value();
    CPPUNIT_ASSERT(Share > 1);
    Allowances.advanceSuspended(2600ms);
    CPPUNIT_ASSERT(Allowances.take(Limited, Now).Share.value() < 0.1);
  }

private:
  std::unique_ptr<gateway_engine> start(const std::string &Name,
                                        customer_allowance Given) {
    auto Result = std::make_unique<gateway_engine>(gateway_engine_options{
        .Seed = testSeed(),
        .Pool = {.Self = host_id(Name),
                 .OwnDataCentre = data_centre_id("near")},
        .Allowances = allowance_bounds()});
    gateway_engine::commands Out;
    Result->handle(hosts_counted{.Hosts = 1, .LocalHosts = 1}, Now, Out);
    Result->handle(exchange_duty{.IsAggregator = true, .IsFirst = true}, Now,
                   Out);
    Result->handle(configuration_read{configuration(1, Given)}, Now, Out);
    return Result;
  }

  void listServers() { handle(serversOf(Service, 5, slot_count(400))); }

  gateway_engine::commands arrive(const customer_id &Customer) {
    return receive({.Label = request_label("label"),
                    .Path = "/path",
                    .CallerTimeout = 8s,
                    .Key = key(Customer.value())});
  }

  void exchange() {
    Engine->takeReport(Now);
    Engine->takeAggregate(true, Now);
  }

  int admittedAtOnce(attempt_outcome FirstOutcome) {
    int Admitted = 0;
    for (int Count = 0; Count < 100; ++Count) {
      auto Out = arrive(Limited);
      if (!isSent(Out))
        continue;
      ++Admitted;
      Out = end(std::get<start_attempt>(Out.front()), FirstOutcome, 200);
      if (isSent(Out))
        end(std::get<start_attempt>(Out.front()), attempt_outcome::Answered,
            200);
    }
    return Admitted;
  }

  static bool isSent(const gateway_engine::commands &Out) {
    return startsWith<start_attempt>(Out);
  }
  static refusal_reason reasonOf(const gateway_engine::commands &Out) {
    CPPUNIT_ASSERT(!Out.empty() &&
                   std::holds_alternative<refuse_request>(Out.front()));
    return std::get<refuse_request>(Out.front()).Reason;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_allowances_test);
