#include "bw_customers/allowances/demand_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const customer_id Customer("customer");
const data_centre_id Near("near");
const data_centre_id Far("far");
const customer_allowance Allowance{.Rate = request_rate(100), .Burst = 100};

demand_exchange exchangeOf(const std::string &Host) {
  return demand_exchange(
      {.Self = host_id(Host),
       .DataCentre = Near,
       .Bounds = {},
       .AllowanceOf = [](const customer_id &) { return Allowance; }});
}

std::vector<customer_demand> demandOf(double Asked, double Held = 0) {
  return {{.Customer = Customer,
           .Asked = request_rate(Asked),
           .Held = request_rate(Held)}};
}

demand_totals totalsOf(double Total) {
  return {.Customers = {{.Customer = Customer, .Total = request_rate(Total)}}};
}

} // namespace

class demand_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(demand_exchange_test);
  CPPUNIT_TEST(usesTheReportThatATotalIncludes);
  CPPUNIT_TEST(lateTotalsAreIgnored);
  CPPUNIT_TEST(totalsExpireWithTheReportTheyInclude);
  CPPUNIT_TEST(missingCustomersOfIncompleteTotalsAreUnknown);
  CPPUNIT_TEST(saysWhatItStillHolds);
  CPPUNIT_TEST(silentHostsKeepTheirPart);
  CPPUNIT_TEST(dataCentresGrowAfterOthersShrink);
  CPPUNIT_TEST(aNewAggregatorWaitsForTheHosts);
  CPPUNIT_TEST(sidesAddUpToTheRate);
  CPPUNIT_TEST(admittedRequestsEmptyThePool);
  CPPUNIT_TEST(theWindowLeavesRoomOrNot);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares from own demand that no other host has counted.
  void usesTheReportThatATotalIncludes() {
    demand_exchange Host = exchangeOf("self");
    Host.takeReport(report_number(1), demandOf(5), Now);
    Host.takeReport(report_number(2), demandOf(50), Now);
    CPPUNIT_ASSERT(!Host.confirmed(Customer, Now));
    Host.receiveTotals(report_number(1), totalsOf(80), Now);
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Own == request_rate(5));
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Total == request_rate(80));
    Host.receiveTotals(report_number(9), totalsOf(10), Now);
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Own == request_rate(5));
  }

  void lateTotalsAreIgnored() {
    demand_exchange Host = exchangeOf("self");
    Host.takeReport(report_number(1), demandOf(5), Now);
    Host.takeReport(report_number(2), demandOf(6), Now);
    Host.receiveTotals(report_number(2), totalsOf(80), Now);
    Host.receiveTotals(report_number(1), totalsOf(10), Now);
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Own == request_rate(6));
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Total == request_rate(80));
  }

  // Guards against a share that others have ceased to count, whenever the total
  // arrived.
  void totalsExpireWithTheReportTheyInclude() {
    demand_exchange Host = exchangeOf("self");
    Host.takeReport(report_number(1), demandOf(5), Now);
    Host.receiveTotals(report_number(1), totalsOf(80), Now + 2s);
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now + 2400ms));
    CPPUNIT_ASSERT(!Host.confirmed(Customer, Now + 2500ms));
  }

  void missingCustomersOfIncompleteTotalsAreUnknown() {
    demand_exchange Host = exchangeOf("self");
    Host.takeReport(report_number(1), demandOf(5), Now);
    Host.receiveTotals(report_number(1), demand_totals{}, Now);
    CPPUNIT_ASSERT(Host.confirmed(Customer, Now)->Total == request_rate(0));
    Host.receiveTotals(report_number(1), {.IsComplete = false}, Now);
    CPPUNIT_ASSERT(!Host.confirmed(Customer, Now));
  }

  // Guards against others using the share of a host whose reports arrive but
  // that hears no totals.
  void saysWhatItStillHolds() {
    demand_exchange Host = exchangeOf("self");
    Host.takeReport(report_number(1), demandOf(50), Now);
    Host.receiveTotals(report_number(1), totalsOf(80), Now);
    CPPUNIT_ASSERT(
        Host.takeReport(report_number(2), demandOf(5), Now + 100ms)[0].Held ==
        request_rate(0));
    CPPUNIT_ASSERT(
        Host.takeReport(report_number(3), demandOf(5), Now + 400ms)[0].Held ==
        request_rate(50));
    CPPUNIT_ASSERT(Host.takeReport(report_number(4), {}, Now + 500ms)[0].Held ==
                   request_rate(50));
    CPPUNIT_ASSERT(Host.takeReport(report_number(5), {}, Now + 2600ms).empty());
  }

  // Guards against a rate that is used twice while a host is cut off: what it
  // had is nobody else's before its share has expired.
  void silentHostsKeepTheirPart() {
    demand_exchange Aggregator = warmAggregator(2);
    play(Aggregator, 2s, 50, 50);
    const double Before = shareOf(Aggregator, 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Before, 0.1);
    // The other host is silent, and the demand here rises.
    for (duration Silence = 80ms; Silence < 2800ms; Silence += 80ms) {
      Now += 80ms;
      report(Aggregator, 1000);
      const double Share = shareOf(Aggregator, 1000);
      if (Silence > 400ms)
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Share), Share <= 50.1);
    }
    Now += 600ms;
    report(Aggregator, 1000);
    Now += 600ms;
    report(Aggregator, 1000);
    // Half of the hosts may use about half of the rate.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(52.5, shareOf(Aggregator, 1000), 0.5);
  }

  // Guards against two data centres that both use a rate that moved.
  void dataCentresGrowAfterOthersShrink() {
    demand_exchange Aggregator = warmAggregator(1);
    report(Aggregator, 0);
    for (int Step = 0; Step < 20; ++Step) {
      Now += 80ms;
      report(Aggregator, Step < 10 ? 0 : 100);
      Aggregator.receiveSummary(
          Far,
          {.Heard = 1,
           .Customers = {{.Customer = Customer, .Rate = request_rate(50)}}},
          Now);
      const double Share = shareOf(Aggregator, 100);
      if (Step >= 10 && Step < 15)
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Share), Share <= 100 / 16.0 + 1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200 / 3.0, shareOf(Aggregator, 100), 0.5);
  }

  // Guards against small totals and a small number of hosts at the start of an
  // aggregator.
  void aNewAggregatorWaitsForTheHosts() {
    demand_exchange Aggregator = exchangeOf("self");
    Aggregator.setHosts(2);
    CPPUNIT_ASSERT(!Aggregator.takeTotals(Now));
    Aggregator.setAggregator(true, Now);
    report(Aggregator, 5);
    CPPUNIT_ASSERT(!Aggregator.takeTotals(Now));
    Aggregator.receiveReport(host_id("other"), report_number(0), {}, Now);
    CPPUNIT_ASSERT(Aggregator.takeTotals(Now));
    demand_exchange Alone = exchangeOf("self");
    Alone.setHosts(100);
    Alone.setAggregator(true, Now);
    CPPUNIT_ASSERT(!Alone.takeTotals(Now + 700ms));
    CPPUNIT_ASSERT(Alone.takeTotals(Now + 900ms)->Factor < ratio(0.01));
  }

  // Guards against sides of a partition that together use much more than the
  // rate, for all ways to cut the hosts in up to four sides.
  void sidesAddUpToTheRate() {
    const allowance_shares Shares{allowance_bounds{}};
    constexpr int Steps = 60;
    const auto Factor = [&](int Part) {
      return Shares.sideFactor(ratio(static_cast<double>(Part) / Steps))
          .value();
    };
    for (int A = 0; A <= Steps; ++A)
      for (int B = 0; A + B <= Steps; ++B)
        for (int C = 0; A + B + C <= Steps; ++C)
          CPPUNIT_ASSERT(Factor(A) + Factor(B) + Factor(C) +
                             Factor(Steps - A - B - C) <=
                         1.0501);
    CPPUNIT_ASSERT_EQUAL(1.0, Factor(Steps * 2 / 3));
    CPPUNIT_ASSERT_EQUAL(0.0, Factor(0));
  }

  // Guards against hosts that each draw the same tokens again.
  void admittedRequestsEmptyThePool() {
    demand_exchange Aggregator = warmAggregator(1);
    play(Aggregator, 4s, 20, 0);
    const double Full = Aggregator.confirmed(Customer, Now)->Pooled;
    CPPUNIT_ASSERT(Full > 10);
    auto Demand = demandOf(20);
    Demand[0].Admitted = 1000;
    Aggregator.takeReport(Number = Number.next(), Demand, Now);
    Aggregator.takeTotals(Now);
    CPPUNIT_ASSERT_EQUAL(0.0, Aggregator.confirmed(Customer, Now)->Pooled);
    // The count of a restarted process starts again.
    Demand[0].Admitted = 1;
    Aggregator.takeReport(Number = Number.next(), Demand, Now);
    for (int Step = 0; Step < 100; ++Step) {
      Now += 80ms;
      Aggregator.takeReport(Number = Number.next(), Demand, Now);
      Aggregator.takeTotals(Now);
    }
    CPPUNIT_ASSERT(Aggregator.confirmed(Customer, Now)->Pooled > 10);
  }
  // Guards against shares that refuse a customer whose window has room, and
  // against counts that miss requests: those before this host was an
  // aggregator, of a data centre that counts only since a moment, or of a late
  // summary.
  void theWindowLeavesRoomOrNot() {
    constexpr double Demand = 120;
    demand_exchange Aggregator = warmAggregator(2);
    const auto IsInside = [&](double Admitted, duration Length) {
      for (const time_point End = Now + Length; Now < End; Now += 80ms) {
        Number = Number.next();
        auto Demands = demandOf(Demand);
        Counted += Admitted * 0.08;
        Demands[0].Admitted = Counted;
        Aggregator.takeReport(Number, std::move(Demands), Now);
        Aggregator.takeTotals(Now);
      }
      return Aggregator.confirmed(Customer, Now)->IsInside;
    };
    CPPUNIT_ASSERT(!IsInside(70, 3s));
    CPPUNIT_ASSERT(IsInside(70, 3s));
    CPPUNIT_ASSERT(!IsInside(100, 5s));
    CPPUNIT_ASSERT(IsInside(70, 5s));
    const auto HearsFar = [&](bool CountsAdmitted, double Admitted) {
      Aggregator.receiveSummary(Far,
                                {.Heard = 1,
                                 .CountsAdmitted = CountsAdmitted,
                                 .Customers = {{.Customer = Customer,
                                                .Rate = request_rate(1),
                                                .Admitted = Admitted}}},
                                Now);
      return IsInside(70, 80ms);
    };
    CPPUNIT_ASSERT(HearsFar(true, 10));
    CPPUNIT_ASSERT(!HearsFar(false, 10));
    CPPUNIT_ASSERT(!HearsFar(true, 60));
    CPPUNIT_ASSERT(HearsFar(true, 10));
    CPPUNIT_ASSERT(!IsInside(70, 500ms));
  }

private:
  demand_exchange warmAggregator(std::uint32_t Hosts) {
    demand_exchange Result = exchangeOf("self");
    Result.setHosts(Hosts);
    Result.setAggregator(true, Now);
    Now += 900ms;
    return Result;
  }

  void report(demand_exchange &Aggregator, double Asked) {
    Number = Number.next();
    Aggregator.takeReport(
        Number, Asked > 0 ? demandOf(Asked) : std::vector<customer_demand>(),
        Now);
    Aggregator.takeTotals(Now);
  }

  void play(demand_exchange &Aggregator, duration Length, double Own,
            double Other) {
    for (const time_point End = Now + Length; Now < End; Now += 80ms) {
      if (Other > 0)
        Aggregator.receiveReport(host_id("other"), Number.next(),
                                 demandOf(Other), Now);
      report(Aggregator, Own);
    }
  }

  double shareOf(const demand_exchange &Exchange, double Own) const {
    const auto Confirmed = Exchange.confirmed(Customer, Now);
    CPPUNIT_ASSERT(Confirmed);
    return Allowance.Rate.value() * Confirmed->Factor.value() * Own /
           std::max(Confirmed->Total.value(), Allowance.Rate.value() / 4);
  }

  time_point Now{100s};
  report_number Number;
  double Counted = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(demand_exchange_test);
