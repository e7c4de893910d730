#include "bw_gateway_daemon/metrics/customer_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace bw;

class customer_metrics_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_metrics_test);
  CPPUNIT_TEST(countsByCustomer);
  CPPUNIT_TEST(namesAFewCustomersOnly);
  CPPUNIT_TEST(namesThoseWithTheMostRefusals);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are counted for another customer, and against
  // names that break the format.
  void countsByCustomer() {
    customer_metrics Metrics;
    const gateway_observer Observer = makeCustomerMetrics(Metrics);
    const customer_id Customer("a\"b");
    Observer.OnAllowance(Customer, refused());
    for (int Count = 0; Count < 3; ++Count)
      Observer.OnAllowance(Customer, admitted());
    Observer.OnAllowance(customer_id("never refused"), admitted());
    const std::string Text = Metrics.text();
    contains(Text,
             "requests_total{customer=\"a\\\"b\",outcome=\"refused\"} 1\n");
    contains(Text,
             "requests_total{customer=\"a\\\"b\",outcome=\"admitted\"} 3\n");
    contains(Text,
             "requests_total{customer=\"_others\",outcome=\"admitted\"} 1\n");
    contains(Text, "customer_share{customer=\"a\\\"b\"} 2.5\n");
    contains(Text, "customer_demand{customer=\"a\\\"b\"} 8\n");
  }

  // Guards against a series for each of thousands of customers.
  void namesAFewCustomersOnly() {
    customer_metrics Metrics;
    for (int Round = 0; Round < 3; ++Round)
      for (int Index = 0; Index < 5000; ++Index)
        Metrics.count(customer_id("c" + std::to_string(Index)), refused());
    const std::string Text = Metrics.text();
    const auto Lines = std::count(Text.begin(), Text.end(), '\n');
    CPPUNIT_ASSERT(Lines <= 20 * 4 + 2 + 6);
    contains(Text, "customer=\"_others\",outcome=\"refused\"} 14940\n");
  }

  // Guards against the customers that are named first staying so for ever.
  void namesThoseWithTheMostRefusals() {
    customer_metrics Metrics;
    for (int Index = 0; Index < 20; ++Index)
      Metrics.count(customer_id("c" + std::to_string(Index)), refused());
    for (int Count = 0; Count < 10; ++Count)
      Metrics.count(customer_id("late"), refused());
    const std::string Text = Metrics.text();
    contains(Text, "customer=\"late\",outcome=\"refused\"} 8\n");
    // Two before it was named, and one of the customer that it replaced.
    contains(Text, "customer=\"_others\",outcome=\"refused\"} 3\n");
  }

private:
  static allowance_decision admitted() {
    return {.IsLimited = true,
            .Share = request_rate(2.5),
            .Total = request_rate(8)};
  }
  static allowance_decision refused() {
    allowance_decision Result = admitted();
    Result.IsAdmitted = false;
    return Result;
  }
  static void contains(const std::string &Text, const std::string &Part) {
    CPPUNIT_ASSERT_MESSAGE(Part + " is missing in\n" + Text,
                           Text.find(Part) != Text.npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_metrics_test);
