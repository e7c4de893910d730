#include "bw_customers/directory/customer_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bw;

namespace {

struct conflict_case {
  const char *Failure;
  std::vector<customer> Customers;
  /// Empty if there is no conflict.
  const char *Conflicting;
};

customer customerOf(const std::string &Name,
                    const std::vector<const char *> &Keys) {
  customer Result{
      .Name = customer_id(Name), .Keys = {}, .Priority = {}, .Allowance = {}};
  for (const char *Each : Keys)
    Result.Keys.push_back(key_digest::of(Each));
  return Result;
}

const conflict_case ConflictCases[] = {
    {"no customers are a conflict", {}, ""},
    {"two customers with own keys are a conflict",
     {customerOf("a", {"k1", "k2"}), customerOf("b", {"k3"})},
     ""},
    {"a key that one customer names twice is a conflict",
     {customerOf("a", {"k1", "k1"}), customerOf("b", {"k2"})},
     ""},
    {"customers without keys are a conflict",
     {customerOf("a", {}), customerOf("b", {})},
     ""},
    {"two customers share a key",
     {customerOf("a", {"k1"}), customerOf("b", {"k2", "k1"})},
     "b"},
    {"first and last customer share a key",
     {customerOf("a", {"k1"}), customerOf("b", {"k2"}),
      customerOf("c", {"k1"})},
     "c"},
    {"a name appears twice with other keys",
     {customerOf("a", {"k1"}), customerOf("a", {"k2"})},
     "a"},
    {"a customer appears twice",
     {customerOf("a", {"k1"}), customerOf("a", {"k1"})},
     "a"},
};

struct name_case {
  const char *Failure;
  std::string Name;
  bool IsUsable;
};

const name_case NameCases[] = {
    {"usual name is refused", "county-office_7", true},
    {"name with a blank inside is refused", "county office", true},
    {"name beyond ASCII is refused", "Beh\xc3\xb6rde", true},
    {"empty name marks an anonymous request", "", false},
    {"line break adds a field to requests", "a\r\nX-Admin: 1", false},
    {"line feed adds a field to requests", "a\nb", false},
    {"zero byte ends the field", std::string("a\0b", 3), false},
    {"tab is changed on the way", "a\tb", false},
    {"blank in front is changed on the way", " a", false},
    {"blank at the end is changed on the way", "a ", false},
    {"deleted character is no name", "a\x7f", false},
};

} // namespace

class customer_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_directory_test);
  CPPUNIT_TEST(findsCustomersByKeyAndName);
  CPPUNIT_TEST(refusesConflicts);
  CPPUNIT_TEST(refusesNamesThatNoFieldCanCarry);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are served under another customer's name.
  void findsCustomersByKeyAndName() {
    const customer_directory Directory(
        {customerOf("a", {"k1", "k2"}), customerOf("b", {"k3"})});
    const auto NameFor = [&](const char *Key) {
      const customer *Found = Directory.find(key_digest::of(Key));
      return Found == nullptr ? "" : Found->Name.value();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("a"), NameFor("k1"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), NameFor("k2"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), NameFor("k3"));
    CPPUNIT_ASSERT_EQUAL(std::string(), NameFor("k4"));
    CPPUNIT_ASSERT_EQUAL(std::string(), NameFor(""));
    CPPUNIT_ASSERT(Directory.find(key_digest()) == nullptr);
    CPPUNIT_ASSERT(Directory.find(customer_id("b"))->Keys.size() == 1);
    CPPUNIT_ASSERT(Directory.find(customer_id("c")) == nullptr);
  }

  // Guards against a key or a name for which the order of the customers decides
  // who is served.
  void refusesConflicts() {
    for (const conflict_case &Case : ConflictCases) {
      std::string Conflicting;
      try {
        const customer_directory Directory(Case.Customers);
      } catch (const customer_conflict_error &Conflict) {
        Conflicting = Conflict.name().value();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Conflicting),
                                   Conflicting);
    }
  }

  // Guards against a name that ends the header field in which servers get it,
  // or that a server reads differently.
  void refusesNamesThatNoFieldCanCarry() {
    for (const name_case &Case : NameCases) {
      bool IsUsable = true;
      try {
        const customer_directory Directory({customerOf(Case.Name, {"k1"})});
      } catch (const customer_name_error &) {
        IsUsable = false;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, Case.IsUsable, IsUsable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_directory_test);
