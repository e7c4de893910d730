#include "bw_gateway_daemon/metrics/gateway_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace bw;
using namespace std::chrono_literals;

class gateway_metrics_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_metrics_test);
  CPPUNIT_TEST(budgetsAreShown);
  CPPUNIT_TEST(closedCallersAreCountedByReason);
  CPPUNIT_TEST(whatLeavesIsCountedByReason);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a budget that is used up without anyone seeing it.
  void budgetsAreShown() {
    budget_usage Usage;
    Usage.CallerBytes.set(500);
    Usage.CallerBytes.set(300);
    Usage.ServerBytes.set(20);
    Usage.CallerConnections.set(3);
    Usage.ServerConnections.set(4);
    Usage.OpenRequests.set(5);
    Counters.publish(Usage);
    for (const char *Line : {"budget_used{budget=\"caller_bytes\"} 300",
                             "budget_peak{budget=\"caller_bytes\"} 500",
                             "budget_used{budget=\"server_bytes\"} 20",
                             "budget_used{budget=\"caller_connections\"} 3",
                             "budget_used{budget=\"server_connections\"} 4",
                             "budget_used{budget=\"open_requests\"} 5"})
      CPPUNIT_ASSERT_MESSAGE(Line, isShown(Line));
  }

  // Guards against a client that is closed without a trace: lines of the log
  // are limited, counts are not.
  void closedCallersAreCountedByReason() {
    for (int Count = 0; Count < 25; ++Count)
      Counters.ClosedCallers.closed(close_reason::HoldsMost, time_point(1h));
    Counters.ClosedCallers.closed(close_reason::Idle, time_point(1h));
    CPPUNIT_ASSERT(isShown("callers_closed{reason=\"holds_most\"} 25"));
    CPPUNIT_ASSERT(isShown("callers_closed{reason=\"idle\"} 1"));
    CPPUNIT_ASSERT(isShown("callers_closed{reason=\"no_room\"} 0"));
  }

  // Guards against a cost of traffic between data centres that nobody sees.
  void whatLeavesIsCountedByReason() {
    metric_registry Metrics;
    const gateway_observer Observer =
        combineObservers({}, makeDecisionMetrics(Metrics));
    const service_id Service("s");
    Observer.OnRequest({.Service = Service});
    Observer.OnRequest({.Step = request_step::Retried,
                        .Service = Service,
                        .Departure = departure_reason::Retry});
    Observer.OnResponse({.Service = Service, .Body = byte_count(40)});
    Observer.OnResponse({.Service = Service,
                         .Departure = departure_reason::NoLocalServer,
                         .Body = byte_count(2)});
    const std::string Text = Metrics.text();
    for (const char *Line :
         {"departed_attempts_total{reason=\"retry\",service=\"s\"} 1",
          "response_bytes_total{service=\"s\"} 42",
          "departed_bytes_total{reason=\"no_local_server\",service=\"s\"} 2"})
      CPPUNIT_ASSERT_MESSAGE(
          Line, Text.find("bramleywinch_" + std::string(Line) + "\n") !=
                    std::string::npos);
  }

private:
  bool isShown(const std::string &Line) {
    metric_registry Metrics;
    addBudgetMetrics(Metrics, Counters);
    return Metrics.text().find("bramleywinch_" + Line + "\n") !=
           std::string::npos;
  }

  forward_counters Counters;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_metrics_test);
