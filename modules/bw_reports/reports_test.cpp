#include "bw_reports/bw_reports.h"
#include "bw_reports/metrics/metrics_glance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace bw;

namespace {

const std::string Log = R"(
2026-08-08T15:12:10.000Z host=h1 BW1200 backend_server_ejected server=s1 service=diary
2026-08-08T15:12:15.100Z host=h1 BW1104 attempt_started request=r1 service=diary server=s1 attempt=1
2026-08-08T15:12:15.200Z host=h1 BW1104 attempt_started request=other service=diary server=s1 attempt=1
this is no line of a daemon
  12.5 h1 2026-08-08T15:12:15.150Z host=h1 BW1105 attempt_failed request=r1 server=s1 outcome=broken
2026-08-08T15:12:15.160Z host=h1 BW1104 attempt_started request=r1 service=diary server=s2 attempt=2 cause=retry
2026-08-08T15:12:15.165Z host=h2 BW1200 backend_server_ejected server=s1 service=diary
2026-08-08T15:12:15.170Z host=h1 BW1200 backend_server_ejected server=s9 service=diary
2026-08-08T15:12:15.300Z host=h1 BW1106 request_answered request=r1 server=s2 status=200 age_ms=200
2026-08-08T15:12:15.400Z host=h1 BW1100 request_refused request=other service=diary reason="not executed" age_ms=200
)";

metrics_page page(double Time, double Served, double Refused) {
  std::ostringstream Text;
  Text << "bramleywinch_time_seconds " << Time << "\n"
       << "bramleywinch_build_info{host=\"h1\",version=\"1\"} 1\n"
       << "bramleywinch_requests_total{outcome=\"served\",service=\"diary\"} "
       << Served << "\n"
       << "bramleywinch_requests_total{outcome=\"refused\",service=\"diary\"} "
       << Refused << "\n";
  return parseMetrics(Text.str());
}

} // namespace

class reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(reports_test);
  CPPUNIT_TEST(metricsAreReadBackAsWritten);
  CPPUNIT_TEST(histogramBucketsAddUp);
  CPPUNIT_TEST(unreadableMetricLinesAreNamed);
  CPPUNIT_TEST(glanceShowsBudgets);
  CPPUNIT_TEST(tellsTheStoryOfOneRequest);
  CPPUNIT_TEST(namesUnreadableLogLines);
  CPPUNIT_TEST(aRequestWithoutLinesIsSaidSo);
  CPPUNIT_TEST(burnRatesFollowTheWindows);
  CPPUNIT_TEST(aRestartedCounterIsNoNegativeBurn);
  CPPUNIT_TEST(logsAndPagesGiveTheSameOutcomes);
  CPPUNIT_TEST(thePageNeedsNothingFromElsewhere);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a budget that is used up and not seen at a glance, and
  // against a heading of budgets for programs that have none.
  void glanceShowsBudgets() {
    const std::string Text = glanceText(
        parseMetrics("bramleywinch_budget_used{budget=\"caller_bytes\"} 300\n"
                     "bramleywinch_budget_peak{budget=\"caller_bytes\"} 500\n"
                     "bramleywinch_callers_closed{reason=\"idle\"} 7\n"
                     "bramleywinch_requests_refused_by_budget 9\n"));
    CPPUNIT_ASSERT(
        Text.find("caller_bytes                  300          500\n") !=
        Text.npos);
    CPPUNIT_ASSERT(Text.find("refused 9  callers closed:  idle 7\n") !=
                   Text.npos);
    CPPUNIT_ASSERT(glanceText({}).find("budget") == std::string::npos);
  }

  void metricsAreReadBackAsWritten() {
    metric_registry Metrics;
    Metrics.describe("a_total", "Help.");
    Metrics.count("a_total", {{"name", "quote \" and \\ back"}}, 2);
    Metrics.count("a_total", {{"name", "plain"}});
    Metrics.addGauge("b", {}, [] { return 1.5; });
    const std::string Text = Metrics.text();
    CPPUNIT_ASSERT(Text.find("# HELP a_total Help.\n# TYPE a_total counter") !=
                   Text.npos);
    const metrics_page Page = parseMetrics(Text);
    CPPUNIT_ASSERT(Page.BadLines.empty());
    CPPUNIT_ASSERT_EQUAL(3.0, Page.sum("a_total"));
    CPPUNIT_ASSERT_EQUAL(1.5, Page.sum("b"));
    CPPUNIT_ASSERT_EQUAL(std::string("quote \" and \\ back"),
                         Page.Samples[1].Labels.at("name"));
  }

  // Guards against buckets that a Prometheus server would refuse.
  void histogramBucketsAddUp() {
    metric_registry Metrics;
    for (const double Seconds : {0.001, 0.005, 0.15, 0.35, 0.35, 99.0})
      Metrics.observe("d_seconds", {{"service", "diary"}}, Seconds);
    const metrics_page Page = parseMetrics(Metrics.text());
    std::map<std::string, double> Buckets;
    for (const metric_sample &Each : Page.Samples)
      if (Each.Name == "d_seconds_bucket")
        Buckets[Each.Labels.at("le")] = Each.Value;
    CPPUNIT_ASSERT_EQUAL(1.0, Buckets.at("0.005"));
    CPPUNIT_ASSERT_EQUAL(2.0, Buckets.at("0.01"));
    CPPUNIT_ASSERT_EQUAL(3.0, Buckets.at("0.2"));
    CPPUNIT_ASSERT_EQUAL(5.0, Buckets.at("0.4"));
    CPPUNIT_ASSERT_EQUAL(5.0, Buckets.at("12"));
    CPPUNIT_ASSERT_EQUAL(6.0, Buckets.at("+Inf"));
    CPPUNIT_ASSERT_EQUAL(6.0, Page.sum("d_seconds_count"));
  }

  void unreadableMetricLinesAreNamed() {
    const metrics_page Page =
        parseMetrics("# a comment\nok 1\nbroken{x=\"1\nworse\n\nalso 2 17\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Page.Samples.size());
    CPPUNIT_ASSERT(Page.BadLines == (std::vector<std::size_t>{3, 4}));
  }

  void tellsTheStoryOfOneRequest() {
    request_story Story("r1");
    std::istringstream Input(Log);
    Story.read(Input, "h1.log");
    const auto Steps = Story.steps();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Steps.size());
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), Steps[1].Name);
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), Steps[1].field("outcome"));
    const auto Around = Story.circumstances();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Around.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Around[0].field("server"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("Answered with the status 200 of server s2 after 200 ms."),
        Story.conclusion());
    const std::string Text = storyText(Story);
    CPPUNIT_ASSERT(Text.find("meanwhile:") != Text.npos);
    CPPUNIT_ASSERT(storyJson(Story).find("\"conclusion\"") != Text.npos);
  }

  void namesUnreadableLogLines() {
    request_story Story("r1");
    std::istringstream Input(Log);
    Story.read(Input, "h1.log");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Story.unreadable().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Story.unreadable()[0].Line);
  }

  void aRequestWithoutLinesIsSaidSo() {
    request_story Story("unknown");
    std::istringstream Input(Log);
    Story.read(Input, "h1.log");
    CPPUNIT_ASSERT(Story.conclusion().starts_with("No log line names"));
    CPPUNIT_ASSERT(Story.circumstances().empty());
  }

  void burnRatesFollowTheWindows() {
    outcome_series Series;
    Series.addPage(page(0, 0, 0));
    Series.addPage(page(3600, 900, 100));
    Series.addPage(page(7200, 1900, 100));
    const auto Report = burnReport(
        Series,
        {.Objective = 0.95,
         .Windows = {
             {.Name = "all", .Long = 8000, .Short = 8000, .Factor = 0.9},
             {.Name = "hour", .Long = 3600, .Short = 300, .Factor = 0.9}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Report[0].BudgetSpent, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Report[0].Windows[0].LongRate, 1e-9);
    CPPUNIT_ASSERT(Report[0].Windows[0].IsAlert);
    CPPUNIT_ASSERT(Report[0].Windows[0].IsPartial);
    // The last hour was well, whatever was before.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Report[0].Windows[1].LongRate, 1e-9);
    CPPUNIT_ASSERT(!Report[0].Windows[1].IsAlert);
  }

  void aRestartedCounterIsNoNegativeBurn() {
    outcome_series Series;
    Series.addPage(page(0, 500, 50));
    Series.addPage(page(10, 7, 3));
    const auto &Points = Series.services().at("diary");
    CPPUNIT_ASSERT_EQUAL(7.0, Points[1].Good);
    CPPUNIT_ASSERT_EQUAL(3.0, Points[1].Bad);
  }

  void logsAndPagesGiveTheSameOutcomes() {
    outcome_series Series;
    std::istringstream Input(Log);
    Series.addLog(Input);
    const auto Report = burnReport(Series, {});
    CPPUNIT_ASSERT_EQUAL(1.0, Report[0].Good);
    CPPUNIT_ASSERT_EQUAL(1.0, Report[0].Bad);
  }

  // Guards against a page that an engineer cannot open without the network.
  void thePageNeedsNothingFromElsewhere() {
    outcome_series Series;
    Series.addPage(page(0, 0, 0));
    Series.addPage(page(10, 90, 10));
    const burn_options Options;
    const std::string Html =
        burnPage(Series, burnReport(Series, Options), Options);
    CPPUNIT_ASSERT(Html.find("<svg") != Html.npos);
    for (const char *Outside : {"http://", "https://", "src=", "href=", "url("})
      CPPUNIT_ASSERT_MESSAGE(Outside, Html.find(Outside) == Html.npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reports_test);
