#include "bw_customers/allowances/demand_exchange.h"
#include "bw_gateway_daemon/peers/exchange_demands.h"
#include "bw_gateway_daemon/peers/exchange_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>

using namespace bw;

namespace {

const customer_id Customer("customer");
constexpr byte_count MaxBytes(60'000);

host_report report() {
  return {.Observations = {.Host = host_id("h1"),
                           .Servers = {},
                           .Demands = {{.Customer = Customer,
                                        .Asked = request_rate(2.5),
                                        .Held = request_rate(4),
                                        .Admitted = 17}}}};
}

load_summary summary() {
  return {.DataCentre = data_centre_id("a"),
          .Servers = {},
          .Demand = demand_summary{.Heard = 5,
                                   .CountsAdmitted = true,
                                   .Customers = {{.Customer = Customer,
                                                  .Rate = request_rate(7),
                                                  .Silent = request_rate(3),
                                                  .Admitted = 44}}}};
}

load_aggregate aggregate() {
  return {.Servers = {},
          .Demand = demand_totals{.Factor = ratio(0.5),
                                  .Part = ratio(0.25),
                                  .LocalHosts = 8,
                                  .IsComplete = false,
                                  .Customers = {{.Customer = Customer,
                                                 .Total = request_rate(30),
                                                 .Pooled = 1.5,
                                                 .IsInside = true}}}};
}

} // namespace

class exchange_demands_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_demands_test);
  CPPUNIT_TEST(demandsRoundTrip);
  CPPUNIT_TEST(messagesWithoutDemandKeepTheirSize);
  CPPUNIT_TEST(theFirstPartCarriesTheDemand);
  CPPUNIT_TEST(rejectsImpossibleNumbers);
  CPPUNIT_TEST_SUITE_END();

public:
  void demandsRoundTrip() {
    CPPUNIT_ASSERT(decodeReport(encodeReport(report())).Observations.Demands ==
                   report().Observations.Demands);
    const host_report Summary = decodeReport(encodeReport(
        {.Observations = {.Host = host_id("h1")}, .Summary = summary()}));
    CPPUNIT_ASSERT(Summary.Summary->Demand == summary().Demand);
    const host_report Aggregate = decodeReport(encodeReport(
        {.Observations = {.Host = host_id("h1")}, .Aggregate = aggregate()}));
    CPPUNIT_ASSERT(Aggregate.Aggregate->Demand == aggregate().Demand);
  }

  // Guards against traffic in deployments without limits.
  void messagesWithoutDemandKeepTheirSize() {
    exchange::host_report Parsed;
    host_report Report = report();
    Report.Observations.Demands.clear();
    CPPUNIT_ASSERT(Parsed.ParseFromString(encodeReport(Report)));
    CPPUNIT_ASSERT(Parsed.demands_size() == 0 && !Parsed.has_demand_summary() &&
                   !Parsed.has_demand_totals());
    load_aggregate Sums = aggregate();
    Sums.Demand.reset();
    Report.Aggregate = Sums;
    CPPUNIT_ASSERT(Parsed.ParseFromString(encodeReport(Report)));
    CPPUNIT_ASSERT(!Parsed.has_demand_totals());
    CPPUNIT_ASSERT(!decodeReport(encodeReport(Report)).Aggregate->Demand);
  }

  // Guards against datagrams that are too long, and against parts that each
  // replace the demand.
  void theFirstPartCarriesTheDemand() {
    load_summary Summary = summary();
    load_aggregate Aggregate = aggregate();
    for (std::size_t Index = 0; Index < demand_exchange::MaxCustomers;
         ++Index) {
      const customer_id Name(std::string(36, 'c') + std::to_string(Index));
      Summary.Demand->Customers.push_back({.Customer = Name,
                                           .Rate = request_rate(1.1),
                                           .Silent = request_rate(0.7),
                                           .Admitted = 5.5});
      Aggregate.Demand->Customers.push_back({.Customer = Name,
                                             .Total = request_rate(1.1),
                                             .Pooled = 0.7,
                                             .IsInside = true});
    }
    for (int Index = 0; Index < 2000; ++Index) {
      const backend_server_id Server("server-" + std::to_string(Index));
      Summary.Servers.push_back({.Server = Server, .InFlight = 7});
      Aggregate.Servers.push_back({.Server = Server, .Local = 7});
    }
    const auto Check = [](const auto &Parts, auto Member) {
      CPPUNIT_ASSERT(Parts.size() > 1);
      for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
        host_report Report{.Observations = {.Host = host_id("h1")}};
        Report.*Member = Parts[Index];
        CPPUNIT_ASSERT(encodeReport(Report).size() <= MaxBytes.value());
        CPPUNIT_ASSERT_EQUAL(Index == 0, Parts[Index].Demand.has_value());
      }
    };
    Check(splitSummary(Summary, MaxBytes), &host_report::Summary);
    Check(splitAggregate(Aggregate, MaxBytes), &host_report::Aggregate);
  }

  // Guards against one broken message that refuses a customer's requests, or
  // admits all of them, at every host.
  void rejectsImpossibleNumbers() {
    using message = exchange::host_report;
    const std::function<void(message &, double)> Setters[] = {
        [](message &To, double Value) {
          To.add_demands()->set_customer("c");
          To.mutable_demands(0)->set_asked(Value);
        },
        [](message &To, double Value) {
          To.add_demands()->set_customer("c");
          To.mutable_demands(0)->set_held(Value);
        },
        [](message &To, double Value) {
          To.add_demands()->set_customer("c");
          To.mutable_demands(0)->set_admitted(Value);
        },
        [](message &To, double Value) {
          To.set_summary_of("a");
          auto *Total = To.mutable_demand_summary()->add_customers();
          Total->set_customer("c");
          Total->set_rate(Value);
        },
        [](message &To, double Value) {
          To.set_summary_of("a");
          auto *Total = To.mutable_demand_summary()->add_customers();
          Total->set_customer("c");
          Total->set_rate(1);
          Total->set_silent(Value);
        },
        [](message &To, double Value) {
          To.set_summary_of("a");
          auto *Total = To.mutable_demand_summary()->add_customers();
          Total->set_customer("c");
          Total->set_admitted(Value);
        },
        [](message &To, double Value) {
          To.set_is_aggregate(true);
          To.mutable_demand_totals()->set_factor(Value);
        },
        [](message &To, double Value) {
          To.set_is_aggregate(true);
          To.mutable_demand_totals()->set_part(Value);
        },
        [](message &To, double Value) {
          To.set_is_aggregate(true);
          auto *Standing = To.mutable_demand_totals()->add_customers();
          Standing->set_customer("c");
          Standing->set_total(Value);
        },
        [](message &To, double Value) {
          To.set_is_aggregate(true);
          auto *Standing = To.mutable_demand_totals()->add_customers();
          Standing->set_customer("c");
          Standing->set_pooled(Value);
        }};
    using limits = std::numeric_limits<double>;
    int Case = 0;
    for (const auto &Set : Setters) {
      ++Case;
      message Valid;
      Set(Valid, 0.5);
      CPPUNIT_ASSERT_NO_THROW(decodeReport(Valid.SerializeAsString()));
      for (const double Value : {-1.0, limits::quiet_NaN(), limits::infinity(),
                                 -limits::infinity(), 1e18}) {
        message Invalid;
        Set(Invalid, Value);
        CPPUNIT_ASSERT_THROW_MESSAGE(
            "number " + std::to_string(Case) + ": " + std::to_string(Value),
            decodeReport(Invalid.SerializeAsString()), exchange_error);
      }
    }
    message Nameless;
    Nameless.add_demands()->set_asked(1);
    CPPUNIT_ASSERT_THROW(decodeReport(Nameless.SerializeAsString()),
                         exchange_error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_demands_test);
