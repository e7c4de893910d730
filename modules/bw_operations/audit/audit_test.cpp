#include "bw_operations/audit/audit_buffer.h"
#include "bw_operations/audit/audit_line.h"
#include "bw_operations/audit/audit_replay.h"
#include "bw_operations/audit/audit_store.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_platform/objects/memory_object_store.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/parse/bounded_parse.h"
#include "bw_testing/memory/allocation_peak.h"

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/util/message_differencer.h>

using namespace bw;
using namespace std::chrono_literals;
using google::protobuf::util::MessageDifferencer;

namespace {

schema::audit_entry
entryOf(std::uint64_t Sequence,
        schema::audit_entry::audit_event Event = schema::audit_entry::fetched) {
  schema::audit_entry Entry;
  Entry.set_at_ms(1'775'000'000'123 + Sequence);
  Entry.set_host("h1");
  Entry.set_incarnation(7);
  Entry.set_sequence(Sequence);
  Entry.set_event(Event);
  Entry.set_actor("ann");
  Entry.set_order("o1");
  Entry.set_record("R1");
  return Entry;
}

audit_buffer bufferOf(std::uint64_t SegmentSize, std::uint64_t Capacity) {
  return audit_buffer({.Collector = host_id("h1"),
                       .SegmentSize = byte_count(SegmentSize),
                       .Capacity = byte_count(Capacity)});
}

// A segment of entries without members.
std::string emptyEntries(std::size_t Size) {
  std::string Result;
  while (Result.size() < Size)
    Result.append("\x1a\0", 2);
  return Result;
}

} // namespace

class audit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(audit_test);
  CPPUNIT_TEST(lineReadsBackEqual);
  CPPUNIT_TEST(refusesBadLines);
  CPPUNIT_TEST(bufferKeepsEntriesUntilAcknowledged);
  CPPUNIT_TEST(bufferIsBounded);
  CPPUNIT_TEST(faultsOfTheWrite);
  CPPUNIT_TEST(readsPageByPage);
  CPPUNIT_TEST(oddSegmentsHideNoOther);
  CPPUNIT_TEST(replayFindsWhatDoesNotFit);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a value that forges a second entry in the export.
  void lineReadsBackEqual() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("2026-03-31T23:33:20.124Z host=h1 incarnation=7 sequence=1 "
                    "event=fetched actor=ann order=o1 record=R1"),
        formatAuditLine(entryOf(1)));
    for (const char *Detail : {"", "plain", "two words", "a\nb", "\"", "\\",
                               "\\x41", "a=b", "é", "x\" event=confirmed \""}) {
      schema::audit_entry Entry = entryOf(1);
      Entry.set_detail(Detail);
      const std::string Line = formatAuditLine(Entry);
      CPPUNIT_ASSERT_EQUAL(std::string::npos, Line.find('\n'));
      CPPUNIT_ASSERT_MESSAGE(
          Line, MessageDifferencer::Equals(Entry, parseAuditLine(Line, "", 1)));
    }
  }

  void refusesBadLines() {
    struct fault_case {
      const char *Text;
      const char *Field;
    };
    const std::string Good = formatAuditLine(entryOf(1)) + "\n\n";
    const std::string Time = "2026-03-31T23:33:20.124Z";
    const fault_case Cases[] = {
        {"x", "(time)"},
        {"2026-03-31 23:33:20.124Z host=h", "(time)"},
        {"2026-02-30T00:00:00.000Z host=h", "(time)"},
        {"2026-13-01T00:00:00.000Z host=h", "(time)"},
        {"2026-01-01T24:00:00.000Z host=h", "(time)"},
        {"1969-01-01T00:00:00.000Z host=h", "(time)"},
        {"TIME", "host"},
        {"TIME ", "(syntax)"},
        {"TIMEhost=h", "(syntax)"},
        {"TIME host", "(syntax)"},
        {"TIME host=h  incarnation=1", " incarnation"},
        {"TIME host=a host=b", "host"},
        {"TIME host=h odd=1", "odd"},
        {"TIME host=h incarnation=x", "incarnation"},
        {"TIME host=h incarnation=", "incarnation"},
        {"TIME host=h incarnation=18446744073709551616", "incarnation"},
        {"TIME host=h incarnation=1 sequence=-1", "sequence"},
        {"TIME host=h incarnation=1 sequence=1", "event"},
        {"TIME host=h incarnation=1 sequence=1 event=odd", "event"},
        {"TIME host=h incarnation=1 sequence=1 "
         "event=audit_event_unspecified",
         "event"},
        {"TIME host=\"h", "host"},
        {"TIME host=\"h\\", "host"},
        {"TIME host=\"\\q\"", "host"},
        {"TIME host=\"\\x4\"", "host"},
        {"TIME host=\"\\xgg\"", "host"},
        {"TIME host=\"h\"x", "(syntax)"},
        {"TIME host=h;", "(syntax)"},
    };
    for (const fault_case &Case : Cases) {
      std::string Text = Case.Text;
      if (Text.starts_with("TIME"))
        Text.replace(0, 4, Time);
      try {
        Text.insert(0, Good);
        parseAuditLines(Text, "a.log");
        CPPUNIT_FAIL("accepted: " + Text);
      } catch (const declaration_error &Error) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::string(Case.Field),
                                     Error.faults().front().Field);
        CPPUNIT_ASSERT_EQUAL(3, Error.faults().front().Line);
      }
    }
  }

  // Guards against entries that are lost with a lost acknowledgement.
  void bufferKeepsEntriesUntilAcknowledged() {
    audit_buffer Buffer = bufferOf(10'000, 100'000);
    const time_point Start{1h};
    CPPUNIT_ASSERT(!Buffer.nextDue().has_value());
    Buffer.add(entryOf(1), Start);
    CPPUNIT_ASSERT(!Buffer.due(Start).has_value());
    const auto First = Buffer.due(Start + 1s);
    CPPUNIT_ASSERT_EQUAL(1, First->entries_size());
    Buffer.add(entryOf(2), Start + 1s);
    const auto Again = Buffer.due(Start + 2s);
    CPPUNIT_ASSERT(MessageDifferencer::Equals(*First, *Again));
    Buffer.renumber();
    CPPUNIT_ASSERT(Buffer.due(Start + 2s)->number() != First->number());
    Buffer.acknowledge();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         Buffer.due(Start + 2s)->entries(0).sequence());
    Buffer.acknowledge();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Buffer.size());
  }

  void bufferIsBounded() {
    audit_buffer Buffer = bufferOf(200, 1'000);
    const time_point Now{1h};
    std::uint64_t Sequence = 0;
    while (Buffer.add(entryOf(++Sequence), Now))
      CPPUNIT_ASSERT(Sequence < 1'000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Buffer.droppedCount());
    // A full segment does not wait for its second.
    const auto Segment = Buffer.due(Now);
    CPPUNIT_ASSERT(Segment.has_value());
    CPPUNIT_ASSERT(Segment->ByteSizeLong() < 400);
  }

  void faultsOfTheWrite() {
    using enum store_fault;
    struct fault_case {
      const char *Guards;
      store_fault Fault;
      bool IsNameTaken;
      audit_write_outcome Expected;
    };
    const fault_case Cases[] = {
        {"a written segment written again under a new name", LostAfterWrite,
         false, audit_write_outcome::Written},
        {"a lost segment acknowledged", LostBefore, false,
         audit_write_outcome::Unconfirmed},
        {"a segment that was not sent acknowledged", NotSent, false,
         audit_write_outcome::Unconfirmed},
        {"another collector's segment taken for its own", None, true,
         audit_write_outcome::NameTaken},
    };
    for (const fault_case &Case : Cases) {
      memory_object_store Memory;
      schema::audit_segment Segment;
      Segment.set_collector("h1");
      Segment.set_number(1);
      *Segment.add_entries() = entryOf(1);
      if (Case.IsNameTaken)
        Memory.hooks().Create({"audit", audit_store::nameOf(Segment)}, "other");
      Memory.setOnCall([&](store_call Call, const object_key &) {
        return Call == store_call::Create ? Case.Fault : None;
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Case.Guards, int(Case.Expected),
          int(audit_store(Memory.hooks()).write(Segment)));
    }
  }

  void readsPageByPage() {
    memory_object_store Memory;
    const audit_store Store(Memory.hooks());
    // Guards against an export that another writer's objects end or fill.
    for (const char *Name : {"!&", "!&limit=9", "00177 5", "z#", "z%z"})
      Memory.hooks().Create({"audit", Name}, "x");
    for (std::uint64_t Number = 1; Number <= 5; ++Number) {
      schema::audit_segment Segment;
      Segment.set_collector("h1");
      Segment.set_number(Number);
      *Segment.add_entries() = entryOf(Number);
      CPPUNIT_ASSERT(Store.write(Segment) == audit_write_outcome::Written);
    }
    std::uint64_t Count = 0;
    std::string After;
    do {
      const audit_page Page = Store.read(After, 2);
      for (const schema::audit_segment &Segment : Page.Segments)
        CPPUNIT_ASSERT_EQUAL(++Count, Segment.entries(0).sequence());
      After = Page.Next;
    } while (!After.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Count);
    Memory.setOnCall(
        [](store_call, const object_key &) { return store_fault::NotSent; });
    CPPUNIT_ASSERT_THROW(Store.read("", 2), platform_unavailable_error);
  }

  // Guards against an object of another writer that ends the export of all
  // others, and against a page as long as all values together.
  void oddSegmentsHideNoOther() {
    memory_object_store Memory;
    const audit_store Store(Memory.hooks());
    const std::size_t Size = 1'000'000;
    constexpr std::uint64_t Count = 12;
    for (std::uint64_t Number = 1; Number <= Count; ++Number) {
      schema::audit_segment Segment;
      Segment.set_collector("h1");
      Segment.set_number(Number);
      *Segment.add_entries() = entryOf(Number);
      CPPUNIT_ASSERT(Store.write(Segment) == audit_write_outcome::Written);
    }
    for (std::uint64_t Number = 1; Number <= Count; ++Number)
      Memory.hooks().Create(
          {"audit", "000000000000000-x-" + std::to_string(Number)},
          Number % 2 == 0 ? std::string(Size, '\xff') : emptyEntries(Size));
    std::uint64_t Found = 0;
    std::size_t Malformed = 0;
    std::string After;
    do {
      const allocation_peak Peak;
      const audit_page Page = Store.read(After, 100);
      CPPUNIT_ASSERT(Peak.value().value() <= audit_store::PageSize.value() +
                                                 StoredMessageLimit.value());
      Found += Page.Segments.size();
      Malformed += Page.Malformed.size();
      After = Page.Next;
    } while (!After.empty());
    CPPUNIT_ASSERT_EQUAL(Count, Found);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Count), Malformed);
  }

  void replayFindsWhatDoesNotFit() {
    audit_replay Replay;
    Replay.add(entryOf(4, schema::audit_entry::confirmed));
    Replay.add(entryOf(1));
    Replay.add(entryOf(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replay.finish().Findings.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("missing entries: host h1, incarnation 7, sequence 2 to 3"),
        Replay.finish().Findings[0]);
    Replay.add(entryOf(2, schema::audit_entry::confirmed));
    schema::audit_entry Other = entryOf(1);
    Other.set_actor("bob");
    Replay.add(Other);
    const audit_summary Summary = Replay.finish();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Summary.EntryCount);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Summary.RepeatedCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Summary.Findings.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Summary.Records.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(audit_test);
