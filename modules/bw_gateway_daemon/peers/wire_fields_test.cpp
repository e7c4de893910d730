#include "bw_gateway_daemon/peers/wire_fields.h"

#include "bw_gateway_daemon/peers/exchange.pb.h"
#include "bw_gateway_daemon/peers/exchange_messages.h"
#include "bw_testing/memory/allocation_peak.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

using namespace bw;

namespace {

constexpr std::size_t BodySize = 4'000'000;

std::string repeated(const std::string &Part) {
  std::string Result;
  while (Result.size() + Part.size() <= BodySize)
    Result += Part;
  return Result;
}

// A field of a number below 16 whose value has less than 128 bytes.
std::string bytesField(int Number, const std::string &Value) {
  return std::string{static_cast<char>(Number << 3 | 2),
                     static_cast<char>(Value.size())} +
         Value;
}

struct size_case {
  const char *Failure;
  std::string Bytes;
  /// Most bytes of memory for one of the message; the text is not counted.
  std::size_t Factor;
};

} // namespace

class wire_fields_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wire_fields_test);
  CPPUNIT_TEST(readsFieldsInTheirOrder);
  CPPUNIT_TEST(refusesWhatIsNoMessage);
  CPPUNIT_TEST(oddMessagesCostLittle);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsFieldsInTheirOrder() {
    exchange::customer_record Record;
    Record.set_name("n");
    Record.set_priority(300);
    Record.set_rate(2.5);
    std::string Read;
    readWireFields(Record.SerializeAsString(),
                   {.OnNumber =
                        [&](int Field, std::uint64_t Value) {
                          Read += std::to_string(Field) + "=" +
                                  std::to_string(Value) + " ";
                        },
                    .OnDouble =
                        [&](int Field, double Value) {
                          Read += std::to_string(Field) + "=" +
                                  std::to_string(Value) + " ";
                        },
                    .OnBytes =
                        [&](int Field, std::string_view Value) {
                          Read += std::to_string(Field) + "=" +
                                  std::string(Value) + " ";
                        }});
    CPPUNIT_ASSERT_EQUAL(std::string("1=n 3=300 4=2.500000 "), Read);
  }

  // Guards against a message that is cut and taken for whole.
  void refusesWhatIsNoMessage() {
    exchange::host_list List;
    List.add_hosts()->set_host("host-1");
    List.mutable_hosts(0)->set_processor_share(0.5);
    const std::string Whole = List.SerializeAsString();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), decodeHosts(Whole).size());
    for (std::size_t Size = 1; Size < Whole.size(); ++Size)
      CPPUNIT_ASSERT_THROW(decodeHosts(Whole.substr(0, Size)), exchange_error);
    for (const char *Bytes : {"\xff", "\x0a\x05", "\x0b", "\x0c", "\x01"})
      CPPUNIT_ASSERT_THROW(decodeHosts(Bytes), exchange_error);
  }

  // Guards against memory that grows to many times the message: an entry
  // without members has two bytes in the message.
  void oddMessagesCostLittle() {
    const std::string Empty;
    const size_case Cases[] = {
        {"servers", repeated(bytesField(2, Empty)), 4},
        {"hosts", repeated(bytesField(1, Empty)), 1},
        {"routes", repeated(bytesField(6, bytesField(4, Empty))), 2},
        {"destinations",
         repeated(bytesField(6, bytesField(4, Empty) + bytesField(4, Empty) +
                                    bytesField(4, Empty))),
         2},
        {"customers", "\x38\x01" + repeated(bytesField(8, Empty)), 6},
        {"digests", repeated(bytesField(8, bytesField(2, Empty))), 1},
        {"unknown fields", repeated(bytesField(15, "a")), 1}};
    for (const size_case &Case : Cases) {
      for (const auto &Decode :
           {std::function<void()>([&] { decodeServers(Case.Bytes); }),
            std::function<void()>([&] { decodeHosts(Case.Bytes); }),
            std::function<void()>([&] { decodeConfiguration(Case.Bytes); })}) {
        const allocation_peak Peak;
        try {
          Decode();
        } catch (const exchange_error &) {
          // Most of them are refused.
        }
        CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                               Peak.value().value() <= Case.Factor * BodySize);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_fields_test);
