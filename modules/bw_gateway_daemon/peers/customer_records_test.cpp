// Tests the part of the exchange between hosts that describes customers.

#include "bw_gateway_daemon/peers/exchange.pb.h"
#include "bw_gateway_daemon/peers/exchange_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>

using namespace bw;

namespace {

using record = exchange::configuration_record;

exchange::customer_record &addCustomer(record &Record, const std::string &Name,
                                       const std::string &Digest) {
  exchange::customer_record &Result = *Record.add_customers();
  Result.set_name(Name);
  Result.add_key_digests(Digest);
  return Result;
}

std::string digest(const char *Key) {
  return std::string(key_digest::of(Key).view());
}

struct hostile_case {
  const char *Failure;
  std::function<void(record &)> Change;
};

const hostile_case HostileCases[] = {
    {"short digest is read",
     [](record &Record) { addCustomer(Record, "b", std::string(31, 'x')); }},
    {"long digest is read",
     [](record &Record) { addCustomer(Record, "b", std::string(33, 'x')); }},
    {"empty digest is read",
     [](record &Record) { addCustomer(Record, "b", ""); }},
    {"key of two customers is read",
     [](record &Record) { addCustomer(Record, "b", digest("k1")); }},
    {"name of two customers is read",
     [](record &Record) { addCustomer(Record, "a", digest("k2")); }},
    {"customer without a name is read",
     [](record &Record) { addCustomer(Record, "", digest("k2")); }},
    {"name with a line break is read",
     [](record &Record) { addCustomer(Record, "b\r\nX: 1", digest("k2")); }},
    {"negative rate is read",
     [](record &Record) {
       addCustomer(Record, "b", digest("k2")).set_rate(-1);
     }},
    {"rate that is not a number is read",
     [](record &Record) {
       addCustomer(Record, "b", digest("k2"))
           .set_rate(std::numeric_limits<double>::quiet_NaN());
     }},
    {"infinite rate is read",
     [](record &Record) {
       addCustomer(Record, "b", digest("k2"))
           .set_rate(std::numeric_limits<double>::infinity());
     }},
    {"negative burst is read",
     [](record &Record) {
       addCustomer(Record, "b", digest("k2")).set_burst(-0.5);
     }},
};

record validRecord() {
  record Result;
  Result.set_version(3);
  Result.set_names_customers(true);
  addCustomer(Result, "a", digest("k1"));
  return Result;
}

gateway_route route(const char *Id, bool IsPublic) {
  return {.Id = route_id(Id),
          .Destinations = {{.Service = service_id("diary")}},
          .IsPublic = IsPublic};
}

gateway_configuration
configuration(std::shared_ptr<const customer_directory> Customers) {
  return {.Version = config_version(3),
          .Limits = {},
          .Routes = {route("r1", true), route("r2", false)},
          .Customers = std::move(Customers)};
}

} // namespace

class customer_records_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_records_test);
  CPPUNIT_TEST(customersRoundTrip);
  CPPUNIT_TEST(noCustomersAndNoneNamedDiffer);
  CPPUNIT_TEST(messagesContainNoKeys);
  CPPUNIT_TEST(hostileRecordsAreRefusedAsAWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that serve a customer differently, depending on where
  // they got the configuration.
  void customersRoundTrip() {
    const std::vector<customer> Sent = {
        {.Name = customer_id("county"),
         .Keys = {key_digest::of("k1"), key_digest::of("k2")},
         .Priority = 0,
         .Allowance = {.Rate = request_rate(0.5), .Burst = 7.25}},
        {.Name = customer_id("state"),
         .Keys = {},
         .Priority = {},
         .Allowance = {}}};
    const auto Got = decodeConfiguration(encodeConfiguration(
        configuration(std::make_shared<const customer_directory>(Sent))));
    CPPUNIT_ASSERT(Got->Routes.at(0).IsPublic && !Got->Routes.at(1).IsPublic);
    const std::vector<customer> &Customers = Got->Customers->customers();
    CPPUNIT_ASSERT_EQUAL(Sent.size(), Customers.size());
    for (std::size_t Index = 0; Index < Sent.size(); ++Index) {
      CPPUNIT_ASSERT(Customers[Index].Name == Sent[Index].Name);
      CPPUNIT_ASSERT(Customers[Index].Keys == Sent[Index].Keys);
      CPPUNIT_ASSERT(Customers[Index].Priority == Sent[Index].Priority);
      CPPUNIT_ASSERT(Customers[Index].Allowance == Sent[Index].Allowance);
    }
    CPPUNIT_ASSERT(Got->Customers->find(key_digest::of("k2"))->Name ==
                   customer_id("county"));
  }

  // Guards against a host that admits everybody because the list of customers
  // is empty.
  void noCustomersAndNoneNamedDiffer() {
    const auto Empty = decodeConfiguration(encodeConfiguration(configuration(
        std::make_shared<const customer_directory>(std::vector<customer>{}))));
    CPPUNIT_ASSERT(Empty->Customers && Empty->Customers->customers().empty());
    CPPUNIT_ASSERT(
        !decodeConfiguration(encodeConfiguration(configuration(nullptr)))
             ->Customers);
  }

  // Guards against keys in clear text on the links between hosts.
  void messagesContainNoKeys() {
    const std::string Key = "long-and-random-key";
    const std::string Bytes = encodeConfiguration(
        configuration(std::make_shared<const customer_directory>(
            std::vector<customer>{{.Name = customer_id("county"),
                                   .Keys = {key_digest::of(Key)},
                                   .Priority = {},
                                   .Allowance = {}}})));
    CPPUNIT_ASSERT(Bytes.find(Key) == Bytes.npos);
    CPPUNIT_ASSERT(Bytes.find(key_digest::of(Key).view()) != Bytes.npos);
  }

  // Guards against a host that takes over a part of a damaged configuration.
  void hostileRecordsAreRefusedAsAWhole() {
    CPPUNIT_ASSERT(
        decodeConfiguration(validRecord().SerializeAsString())->Customers);
    for (const hostile_case &Case : HostileCases) {
      record Record = validRecord();
      Case.Change(Record);
      CPPUNIT_ASSERT_THROW_MESSAGE(
          Case.Failure, decodeConfiguration(Record.SerializeAsString()),
          exchange_error);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_records_test);
