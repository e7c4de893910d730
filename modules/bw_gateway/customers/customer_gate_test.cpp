#include "bw_gateway/customers/customer_gate.h"

#include "bw_gateway/engine/engine_fixture_test.h"

using namespace bw;
using namespace bw::engine_test;

namespace {

enum class customers_known { NoConfiguration, NotNamed, None, Two };

constexpr std::uint32_t RoutePriority = 5;

struct gate_case {
  const char *Failure;
  customers_known Customers;
  bool IsPublic;
  key_presence Presence;
  const char *Key;
  bool IsRefused;
  /// What servers learn; null if the request is passed on as it came.
  const char *Name;
  std::uint32_t Priority = RoutePriority;
};

const gate_case GateCases[] = {
    {"a key is asked for without a configuration",
     customers_known::NoConfiguration, false, key_presence::Absent, "", false,
     nullptr},
    {"a key is asked for where no customers are named",
     customers_known::NotNamed, false, key_presence::Absent, "", false,
     nullptr},
    {"credentials for a server are taken for a key", customers_known::NotNamed,
     false, key_presence::OtherScheme, "", false, nullptr},
    {"an empty list of customers admits everybody", customers_known::None,
     false, key_presence::Absent, "", true, ""},
    {"an empty list of customers admits a key", customers_known::None, false,
     key_presence::Present, "k1", true, ""},
    {"an empty list of customers closes public routes", customers_known::None,
     true, key_presence::Absent, "", false, ""},
    {"a known key is refused", customers_known::Two, false,
     key_presence::Present, "k1", false, "county", 0},
    {"the second key of a customer is refused", customers_known::Two, false,
     key_presence::Present, "k2", false, "county", 0},
    {"a customer without a priority does not get the route's",
     customers_known::Two, false, key_presence::Present, "k3", false, "state"},
    {"an unknown key is admitted", customers_known::Two, false,
     key_presence::Present, "k4", true, ""},
    {"a request without a key is admitted", customers_known::Two, false,
     key_presence::Absent, "", true, ""},
    {"a repeated key is admitted", customers_known::Two, false,
     key_presence::Repeated, "k1", true, ""},
    {"another scheme is admitted", customers_known::Two, false,
     key_presence::OtherScheme, "k1", true, ""},
    {"an empty key is admitted", customers_known::Two, false,
     key_presence::Empty, "k1", true, ""},
    {"a key that is too long is admitted", customers_known::Two, false,
     key_presence::TooLong, "k1", true, ""},
    {"a public route asks for a key", customers_known::Two, true,
     key_presence::Absent, "", false, ""},
    {"a public route refuses an unknown key", customers_known::Two, true,
     key_presence::Present, "k4", false, ""},
    {"a public route uses a repeated key", customers_known::Two, true,
     key_presence::Repeated, "k1", false, ""},
    {"a public route hides the customer of a known key", customers_known::Two,
     true, key_presence::Present, "k1", false, "county", 0},
};

std::shared_ptr<const gateway_configuration>
configuration(customers_known Known) {
  if (Known == customers_known::NoConfiguration)
    return nullptr;
  auto Result = std::make_shared<gateway_configuration>();
  if (Known == customers_known::NotNamed)
    return Result;
  std::vector<customer> Customers;
  if (Known == customers_known::Two) {
    Customers = {customerOf("county", {"k1", "k2"}),
                 customerOf("state", {"k3"})};
    Customers[0].Priority = 0;
  }
  Result->Customers = directoryOf(Customers);
  return Result;
}

constexpr time_point Now{};

} // namespace

class customer_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_gate_test);
  CPPUNIT_TEST(admitsCustomersByTheirKeys);
  CPPUNIT_TEST(aNewConfigurationReplacesAllKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests without a known key that reach a server, and
  // against a wrong name or priority.
  void admitsCustomersByTheirKeys() {
    for (const gate_case &Case : GateCases) {
      customer_gate Gate;
      Gate.setConfiguration(configuration(Case.Customers), Now);
      const gateway_route Route{.Id = route_id("r"),
                                .Priority = RoutePriority,
                                .IsPublic = Case.IsPublic};
      // Unreadable credentials have a digest here, so that its use shows.
      const customer_decision Decision = Gate.admit(
          {.Presence = Case.Presence, .Digest = key_digest::of(Case.Key)},
          Route, Now);
      CPPUNIT_ASSERT_MESSAGE(
          Case.Failure,
          Decision.Refusal ==
              (Case.IsRefused ? std::optional(refusal_reason::Unauthenticated)
                              : std::nullopt));
      // The caller must not come back with the same key.
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, !Decision.RetryAfter);
      CPPUNIT_ASSERT_MESSAGE(Case.Failure, Decision.Customer.has_value() ==
                                               (Case.Name != nullptr));
      if (Case.Name != nullptr)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Name),
                                     Decision.Customer->Name.value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, Case.Priority,
                                   Decision.Priority);
    }
  }

  // Guards against a withdrawn key that stays valid, and against a key that two
  // customers hold after it was moved.
  void aNewConfigurationReplacesAllKeys() {
    customer_gate Gate;
    Gate.setConfiguration(configuration(customers_known::Two), Now);
    const gateway_route Route{.Id = route_id("r")};
    CPPUNIT_ASSERT(!Gate.admit(key("k1"), Route, Now).Refusal);
    auto Next = std::make_shared<gateway_configuration>();
    Next->Customers = directoryOf({customerOf("state", {"k1"})});
    Gate.setConfiguration(Next, Now);
    CPPUNIT_ASSERT(Gate.admit(key("k1"), Route, Now).Customer->Name ==
                   customer_id("state"));
    for (const char *Withdrawn : {"k2", "k3"})
      CPPUNIT_ASSERT_MESSAGE(Withdrawn,
                             Gate.admit(key(Withdrawn), Route, Now).Refusal ==
                                 refusal_reason::Unauthenticated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_gate_test);
