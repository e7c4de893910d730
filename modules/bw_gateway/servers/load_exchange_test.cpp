#include "bw_gateway/servers/load_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const data_centre_id Near("near");
const data_centre_id Far("far");
const backend_server_id A("a");
const backend_server_id B("b");
const exchange_duty First{.IsAggregator = true, .IsFirst = true};
const exchange_duty Second{.IsAggregator = true, .IsFirst = false};

} // namespace

class load_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_exchange_test);
  CPPUNIT_TEST(reportsEachOutcomeOnce);
  CPPUNIT_TEST(anAggregatorSumsTheReports);
  CPPUNIT_TEST(ownRequestsAreNotCountedTwice);
  CPPUNIT_TEST(sumsOfAnAggregatorExcludeTheReceiversRequests);
  CPPUNIT_TEST(partsOfAMessageAddUp);
  CPPUNIT_TEST(outcomesAreForwardedByOneAggregator);
  CPPUNIT_TEST(broadcastFailuresAreNotForwardedLocally);
  CPPUNIT_TEST(onlyFailuresLeaveTheDataCentre);
  CPPUNIT_TEST(aNewAggregatorForwardsNoOldOutcomes);
  CPPUNIT_TEST(theSecondAggregatorTakesOver);
  CPPUNIT_TEST(anUninformedAggregatorSendsNoSums);
  CPPUNIT_TEST(silentHostsNoLongerCount);
  CPPUNIT_TEST(removedServersLeaveNoLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against other hosts counting the same outcome twice.
  void reportsEachOutcomeOnce() {
    load_exchange Host(host_id("self"), Near);
    Host.recordOutcomes(A, 1, 0);
    CPPUNIT_ASSERT(!Host.hasUnreportedFailure());
    Host.recordOutcomes(A, 0, 1);
    CPPUNIT_ASSERT(Host.hasUnreportedFailure());
    const auto Reported = Host.takeReport({{A, 1}}).Servers;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Reported.size());
    CPPUNIT_ASSERT(Reported[0].Good == 1 && Reported[0].Bad == 1 &&
                   Reported[0].InFlight == 1);
    CPPUNIT_ASSERT(!Host.hasUnreportedFailure());
    const auto Again = Host.takeReport({{A, 1}}).Servers;
    CPPUNIT_ASSERT(Again[0].Good == 0 && Again[0].InFlight == 1);
    CPPUNIT_ASSERT(Host.takeReport({}).Servers.empty());
  }

  // Guards against all hosts choosing the same server because each knows only
  // its own requests.
  void anAggregatorSumsTheReports() {
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(First);
    Aggregator.receive(report("h1", A, 2), Now);
    Aggregator.receive(report("h2", A, 3), Now);
    Aggregator.receive(load_summary{.DataCentre = Far,
                                    .Servers = {{.Server = A, .InFlight = 4}}},
                       Now);
    CPPUNIT_ASSERT_EQUAL(9U, Aggregator.inFlightElsewhere(A));
    const load_aggregate Sums = Aggregator.takeAggregate({{A, 1}}, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sums.Servers.size());
    CPPUNIT_ASSERT(Sums.Servers[0].Local == 6 && Sums.Servers[0].Remote == 4);
    const load_summary Summary = Aggregator.takeSummary({{A, 1}}, true);
    CPPUNIT_ASSERT(Summary.DataCentre == Near);
    CPPUNIT_ASSERT(Summary.Servers.at(0).InFlight == 6);
    // A later report of a host replaces its previous one.
    Aggregator.receive(report("h2", B, 1), Now);
    CPPUNIT_ASSERT_EQUAL(6U, Aggregator.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(1U, Aggregator.inFlightElsewhere(B));
  }

  // Guards against a host counting its own requests as those of others, and
  // against subtracting too many. The sums may include an older report of the
  // host than its last one.
  void ownRequestsAreNotCountedTwice() {
    load_exchange Host(host_id("self"), Near);
    const report_number Older = Host.takeReport({{A, 2}}).Number;
    const report_number Newer = Host.takeReport({{A, 4}}).Number;
    load_aggregate Sums{
        .Servers = {{.Server = A, .Local = 5, .Remote = 1}},
        .Included = {{host_id("other"), Newer}, {host_id("self"), Older}}};
    Host.receive(Sums, Now);
    CPPUNIT_ASSERT_EQUAL(4U, Host.inFlightElsewhere(A));
    Sums.Included[1].second = Newer;
    Host.receive(Sums, Now);
    CPPUNIT_ASSERT_EQUAL(2U, Host.inFlightElsewhere(A));
    // The aggregator has received no report of this host.
    Sums.Included.pop_back();
    Host.receive(Sums, Now);
    CPPUNIT_ASSERT_EQUAL(6U, Host.inFlightElsewhere(A));
    // An aggregate without load leaves the load unchanged. One with load that
    // omits the server means that the server has no requests.
    Host.receive(load_aggregate{.HasLoad = false}, Now);
    CPPUNIT_ASSERT_EQUAL(6U, Host.inFlightElsewhere(A));
    Host.receive(load_aggregate{}, Now);
    CPPUNIT_ASSERT_EQUAL(0U, Host.inFlightElsewhere(A));
  }

  // Guards against a host that counts its own requests as those of others, as
  // the sums do not name its report.
  void sumsOfAnAggregatorExcludeTheReceiversRequests() {
    load_exchange Aggregator(host_id("aggregator"), Near);
    Aggregator.setDuty(First);
    load_exchange Host(host_id("self"), Near);
    Aggregator.receive(Host.takeReport({{A, 3}}), Now);
    Aggregator.receive(report("other", A, 2), Now);
    // The request at B began after the report in the sums.
    Host.takeReport({{A, 3}, {B, 1}});
    Host.receive(Aggregator.takeAggregate({}, true), Now);
    CPPUNIT_ASSERT_EQUAL(2U, Host.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(0U, Host.inFlightElsewhere(B));
  }

  // Guards against a part of a long message that replaces the parts before it,
  // and against parts that remain when the next message comes.
  void partsOfAMessageAddUp() {
    const message_round One(1);
    load_exchange Host(host_id("self"), Near);
    Host.takeReport({{B, 1}});
    Host.receive(
        load_aggregate{.Servers = {{.Server = A, .Local = 5}},
                       .Included = {{host_id("self"), report_number(1)}},
                       .Round = One},
        Now);
    Host.receive(
        load_aggregate{.Servers = {{.Server = B, .Local = 3}}, .Round = One},
        Now);
    CPPUNIT_ASSERT_EQUAL(5U, Host.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(2U, Host.inFlightElsewhere(B));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Host.localSenders().size());
    Host.receive(load_aggregate{.Servers = {{.Server = B, .Local = 1}},
                                .Round = One.next()},
                 Now);
    CPPUNIT_ASSERT_EQUAL(0U, Host.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(1U, Host.inFlightElsewhere(B));
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(First);
    const auto Receive = [&](const backend_server_id &Server,
                             message_round Round) {
      Aggregator.receive(
          load_summary{.DataCentre = Far,
                       .Servers = {{.Server = Server, .InFlight = 4}},
                       .Round = Round},
          Now);
    };
    Receive(A, One);
    Receive(B, One);
    CPPUNIT_ASSERT_EQUAL(4U, Aggregator.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(4U, Aggregator.inFlightElsewhere(B));
    Receive(B, One.next());
    CPPUNIT_ASSERT_EQUAL(0U, Aggregator.inFlightElsewhere(A));
    CPPUNIT_ASSERT_EQUAL(4U, Aggregator.inFlightElsewhere(B));
  }

  // Guards against sums of a host that knows only its own load, and against the
  // loss of outcomes when it learns of the others.
  void anUninformedAggregatorSendsNoSums() {
    load_exchange Aggregator(host_id("self"), Near);
    exchange_duty Duty = First;
    Duty.IsInformed = false;
    Aggregator.setDuty(Duty);
    CPPUNIT_ASSERT(!Aggregator.sendsAggregates(Now + 10s));
    Aggregator.receive(report("h1", A, 0, 3, 0), Now);
    Aggregator.setDuty(First);
    CPPUNIT_ASSERT(Aggregator.sendsAggregates(Now));
    CPPUNIT_ASSERT(Aggregator.takeAggregate({}, false).Servers.at(0).Good == 3);
  }

  // Guards against outcomes counted twice because two aggregators forward them.
  void outcomesAreForwardedByOneAggregator() {
    for (const exchange_duty Duty : {First, Second}) {
      load_exchange Aggregator(host_id("self"), Near);
      Aggregator.setDuty(Duty);
      Aggregator.receive(report("h1", A, 0, 3, 0), Now);
      const load_aggregate Sums = Aggregator.takeAggregate({}, false);
      CPPUNIT_ASSERT_EQUAL(Duty.IsFirst, !Sums.Servers.empty());
      CPPUNIT_ASSERT(!Duty.IsFirst || Sums.Servers[0].Good == 3);
      CPPUNIT_ASSERT(Aggregator.takeAggregate({}, false).Servers.empty());
    }
  }

  void broadcastFailuresAreNotForwardedLocally() {
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(First);
    peer_reported Failure = report("h1", A, 0, 0, 1);
    Failure.IsBroadcast = true;
    Aggregator.receive(Failure, Now);
    CPPUNIT_ASSERT(Aggregator.takeAggregate({}, true).Servers.empty());
    // Other data centres did not receive the broadcast.
    CPPUNIT_ASSERT(Aggregator.hasFailureForRemote());
    CPPUNIT_ASSERT(Aggregator.takeSummary({}, false).Servers.at(0).Bad == 1);
    CPPUNIT_ASSERT(!Aggregator.hasFailureForRemote());
  }

  // Guards against traffic between data centres for outcomes that change no
  // decision there, and against failures that remain unknown there.
  void onlyFailuresLeaveTheDataCentre() {
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(First);
    Aggregator.receive(report("h1", A, 0, 5, 0), Now);
    Aggregator.recordOutcomes(B, 1, 1);
    const load_summary Summary = Aggregator.takeSummary({}, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Summary.Servers.size());
    CPPUNIT_ASSERT(Summary.Servers[0].Server == B &&
                   Summary.Servers[0].Good == 1);
    // The receiving aggregator forwards it to the hosts of its data centre.
    load_exchange There(host_id("self"), Far);
    There.setDuty(First);
    There.receive(Summary, Now);
    CPPUNIT_ASSERT(There.takeAggregate({}, false).Servers.at(0).Bad == 1);
    CPPUNIT_ASSERT(There.takeSummary({}, false).Servers.empty());
  }

  // Guards against a new aggregator forwarding outcomes from before it took
  // over.
  void aNewAggregatorForwardsNoOldOutcomes() {
    load_exchange Host(host_id("self"), Near);
    Host.receive(report("h1", A, 4, 0, 1), Now);
    Host.recordOutcomes(B, 0, 1);
    Host.setDuty(First);
    CPPUNIT_ASSERT(Host.takeAggregate({}, true).Servers.empty());
    CPPUNIT_ASSERT(Host.takeSummary({}, true).Servers.empty());
  }

  // Guards against a data centre without aggregates after the first aggregator
  // fails, and against two aggregators sending them.
  void theSecondAggregatorTakesOver() {
    load_exchange Aggregator(host_id("self"), Near);
    CPPUNIT_ASSERT(!Aggregator.sendsAggregates(Now));
    Aggregator.setDuty(Second);
    CPPUNIT_ASSERT(Aggregator.sendsAggregates(Now));
    Aggregator.receive(load_aggregate{}, Now);
    CPPUNIT_ASSERT(!Aggregator.sendsAggregates(Now + 300ms));
    CPPUNIT_ASSERT(Aggregator.sendsAggregates(Now + 500ms));
    Aggregator.setDuty(First);
    CPPUNIT_ASSERT(Aggregator.sendsAggregates(Now));
    // Idle hosts do not count as load.
    Aggregator.receive(report("h1", A, 0), Now);
    CPPUNIT_ASSERT(!Aggregator.hasLocalLoad());
    Aggregator.receive(report("h1", A, 1), Now);
    CPPUNIT_ASSERT(Aggregator.hasLocalLoad());
  }

  // Guards against counting the load of a failed host for ever.
  void silentHostsNoLongerCount() {
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(Second);
    Aggregator.receive(report("h1", A, 2), Now);
    Aggregator.receive(load_summary{.DataCentre = Far,
                                    .Servers = {{.Server = A, .InFlight = 4}}},
                       Now);
    load_exchange Host(host_id("self"), Near);
    Host.receive(load_aggregate{.Servers = {{.Server = A, .Local = 5}}}, Now);
    for (load_exchange *Each : {&Aggregator, &Host}) {
      Each->expire(Now + 1s);
      CPPUNIT_ASSERT(Each->inFlightElsewhere(A) > 0);
      Each->expire(Now + 2s);
      CPPUNIT_ASSERT_EQUAL(0U, Each->inFlightElsewhere(A));
    }
    CPPUNIT_ASSERT(!Aggregator.hasLocalLoad());
  }

  // Guards against counting requests to the previous run of a server.
  void removedServersLeaveNoLoad() {
    load_exchange Aggregator(host_id("self"), Near);
    Aggregator.setDuty(First);
    Aggregator.receive(report("h1", A, 2), Now);
    Aggregator.forget(A);
    CPPUNIT_ASSERT_EQUAL(0U, Aggregator.inFlightElsewhere(A));
    Aggregator.receive(report("h1", A, 1), Now);
    CPPUNIT_ASSERT_EQUAL(1U, Aggregator.inFlightElsewhere(A));
  }

private:
  static peer_reported report(const std::string &Host,
                              const backend_server_id &Server,
                              std::uint16_t InFlight, float Good = 0,
                              float Bad = 0) {
    return {.Host = host_id(Host),
            .Servers = {{.Server = Server,
                         .Good = Good,
                         .Bad = Bad,
                         .InFlight = InFlight}}};
  }

  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_exchange_test);
