// Tests what logs and metrics say of refused requests.

#include "bw_gateway_daemon/log/decision_log.h"

#include "bw_gateway_daemon/metrics/gateway_metrics.h"
#include "bw_kernel/log/log_event.h"
#include "bw_reports/logs/refusal_text.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;

namespace {

const refusal_reason Reasons[] = {refusal_reason::NoConfiguration,
                                  refusal_reason::NoRoute,
                                  refusal_reason::NoServer,
                                  refusal_reason::NotExecuted,
                                  refusal_reason::Stopping,
                                  refusal_reason::Overloaded,
                                  refusal_reason::Unauthenticated,
                                  refusal_reason::OverAllowance,
                                  refusal_reason::ConfigurationStale,
                                  refusal_reason::Unknown,
                                  refusal_reason::Timeout};

const key_presence Keys[] = {key_presence::Absent,   key_presence::Present,
                             key_presence::Repeated, key_presence::OtherScheme,
                             key_presence::Empty,    key_presence::TooLong};

request_decision refused(refusal_reason Reason, key_presence Key) {
  return {.Step = request_step::Refused,
          .Label = request_label("r1"),
          .Customer = customer_id("county office"),
          .Key = Key,
          .Reason = Reason,
          .Version = config_version(7)};
}

} // namespace

class decision_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(decision_log_test);
  CPPUNIT_TEST(eachReasonIsLoggedCountedAndExplained);
  CPPUNIT_TEST(refusedKeysAreCountedByTheirFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Line.clear();
    setLogSink([this](const std::string &Each) { Line = Each; });
  }
  void tearDown() override { setLogSink(nullptr); }

  // Guards against a reason that was added without a name, a series or an
  // explanation for operators.
  void eachReasonIsLoggedCountedAndExplained() {
    for (const refusal_reason Reason : Reasons) {
      const std::string Name(refusalName(Reason));
      CPPUNIT_ASSERT(!Name.empty());
      metric_registry Metrics;
      const request_decision Decision = refused(Reason, key_presence::Present);
      makeDecisionMetrics(Metrics).OnRequest(Decision);
      CPPUNIT_ASSERT_MESSAGE(
          Name, Metrics.text().find("bramleywinch_refusals_total{reason=\"" +
                                    Name + "\"} 1") != std::string::npos);
      makeDecisionLog().OnRequest(Decision);
      const auto Record =
          parseLogLine("2026-08-08T15:12:15.100Z host=h1 " + Line);
      CPPUNIT_ASSERT_MESSAGE(Line, Record.has_value());
      CPPUNIT_ASSERT_EQUAL(Name, Record->field("reason"));
      CPPUNIT_ASSERT_EQUAL(std::string("county office"),
                           Record->field("customer"));
      CPPUNIT_ASSERT_MESSAGE(Name, !refusalText(*Record).empty());
    }
  }

  // Guards against metrics that cannot tell withdrawn keys from callers that
  // send none.
  void refusedKeysAreCountedByTheirFault() {
    metric_registry Metrics;
    for (const key_presence Key : Keys)
      makeDecisionMetrics(Metrics).OnRequest(
          refused(refusal_reason::Unauthenticated, Key));
    makeDecisionMetrics(Metrics).OnRequest(
        refused(refusal_reason::OverAllowance, key_presence::Present));
    for (const key_presence Key : Keys)
      CPPUNIT_ASSERT(
          Metrics.text().find("bramleywinch_unauthenticated_total{key=\"" +
                              std::string(presenceName(Key)) + "\"} 1") !=
          std::string::npos);
  }

private:
  std::string Line;
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);
