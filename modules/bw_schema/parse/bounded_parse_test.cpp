#include "bw_schema/parse/bounded_parse.h"

#include "bw_schema/bramleywinch.pb.h"
#include "bw_testing/memory/allocation_peak.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace bw;

namespace {

constexpr std::size_t ValueSize = 1'000'000;

std::string repeated(const std::string &Part) {
  std::string Result;
  while (Result.size() + Part.size() <= ValueSize)
    Result += Part;
  return Result;
}

std::string field(int Number, const std::string &Value) {
  return std::string{static_cast<char>(Number << 3 | 2),
                     static_cast<char>(Value.size())} +
         Value;
}

} // namespace

class bounded_parse_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(bounded_parse_test);
  CPPUNIT_TEST(readsWhatTheProjectWrites);
  CPPUNIT_TEST(refusesWhatIsNoMessage);
  CPPUNIT_TEST(oddValuesCostLittle);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a limit that a value of the project meets.
  void readsWhatTheProjectWrites() {
    schema::audit_segment Segment;
    // As long as a segment of the audit.
    while (Segment.ByteSizeLong() < kibibytes(256).value()) {
      schema::audit_entry *Entry = Segment.add_entries();
      Entry->set_at_ms(1'000'000);
      Entry->set_host("host-1");
      Entry->set_actor("a");
      Entry->set_order("o");
      Entry->set_record("r");
    }
    schema::audit_segment Read;
    CPPUNIT_ASSERT(parseBounded(Segment.SerializeAsString(), Read));
    CPPUNIT_ASSERT_EQUAL(Segment.entries_size(), Read.entries_size());
  }

  void refusesWhatIsNoMessage() {
    schema::configuration_head Head;
    Head.set_version(7);
    Head.add_chunks("hash");
    Head.add_recent()->set_change_id("c");
    const std::string Whole = Head.SerializeAsString();
    for (std::size_t Size = 0; Size <= Whole.size(); ++Size) {
      schema::configuration_head Expected;
      const bool IsMessage = Expected.ParseFromString(Whole.substr(0, Size));
      schema::configuration_head Read;
      CPPUNIT_ASSERT_EQUAL(IsMessage,
                           parseBounded(Whole.substr(0, Size), Read));
      CPPUNIT_ASSERT(IsMessage || Read.ByteSizeLong() == 0);
    }
  }

  // Guards against values of another writer that take many times their size:
  // an empty message has two bytes, and over a hundred as an object.
  void oddValuesCostLittle() {
    for (int Outer = 1; Outer < 16; ++Outer)
      for (const std::string &Inner :
           {std::string(), field(1, ""), field(2, ""), field(3, ""),
            field(4, ""), std::string("a")})
        for (const auto &Into :
             {std::shared_ptr<google::protobuf::Message>(
                  std::make_shared<schema::configuration>()),
              std::shared_ptr<google::protobuf::Message>(
                  std::make_shared<schema::configuration_head>()),
              std::shared_ptr<google::protobuf::Message>(
                  std::make_shared<schema::audit_segment>())}) {
          const std::string Bytes = repeated(field(Outer, Inner));
          const allocation_peak Peak;
          parseBounded(Bytes, *Into);
          CPPUNIT_ASSERT_MESSAGE(Into->GetTypeName(),
                                 Peak.value().value() <=
                                     2 * StoredMessageLimit.value());
        }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_parse_test);
