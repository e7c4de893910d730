// Another writer keeps odd entries in the store of a real gateway with lowered
// memory. Each test checks that the process lives, that its memory grows by no
// more than the share of the three readers of the store and one of its own, and
// that an ordinary request is answered. Processor time is printed.

#include "bw_emulator/store/odd_values.h"
#include "tests/slow_clients/gateway_under_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <thread>

using namespace bw;
using namespace bw::slow_clients;
using namespace std::chrono_literals;

namespace {

// A tenth of the memory in the settings.
constexpr gateway_limits Limits{.Memory = mebibytes(80)};
constexpr byte_count OddShare = mebibytes(8);

constexpr const char *Kinds[] = {"servers", "config", "bramleywinch-hosts"};
constexpr byte_count EntrySize(1'000'000);

} // namespace

class odd_writer_process_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(odd_writer_process_test);
  CPPUNIT_TEST(entriesWrittenAgainAndAgain);
  CPPUNIT_TEST(entriesThatStayHideNoServer);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against processes that end because another writer keeps a few long
  // entries beside those of the servers: four gateways of 260 MB ended 12 to 17
  // times in 30 s, with the submissions that they had passed on.
  void entriesWrittenAgainAndAgain() {
    gateway_under_test Gateway(Limits, server_conduct::Answers);
    CPPUNIT_ASSERT(Gateway.answersOrdinaryRequest());
    const byte_count Before = Gateway.peakMemory();
    for (const odd_shape Shape : OddShapes) {
      const auto Processor = Gateway.processorTime();
      const std::string Value = makeOddValue(Shape, EntrySize);
      constexpr int Rounds = 4;
      for (int Round = 0; Round < Rounds; ++Round) {
        write(Gateway, Value + std::string(Round, ' '), 8);
        std::this_thread::sleep_for(500ms);
      }
      check(Gateway, std::string(nameOf(Shape)), Before, Processor);
    }
  }

  // Guards against entries that hide the servers for good once the list is
  // longer than a limit: with 34 of them, no change of the list was seen.
  void entriesThatStayHideNoServer() {
    gateway_under_test Gateway(Limits, server_conduct::Answers);
    CPPUNIT_ASSERT(Gateway.answersOrdinaryRequest());
    const byte_count Before = Gateway.peakMemory();
    const auto Processor = Gateway.processorTime();
    write(Gateway, makeOddValue(odd_shape::Nested, EntrySize), 40);
    Gateway.replaceOrdinaryServer();
    check(Gateway, "40 entries of each kind", Before, Processor);
    Gateway.replaceOrdinaryServer();
    check(Gateway, "the same later", Before, Processor);
  }

private:
  static void write(gateway_under_test &Gateway, const std::string &Value,
                    int Count) {
    for (const char *Kind : Kinds)
      for (int Number = 0; Number < Count; ++Number)
        Gateway.store().writeObject(Kind, "a-" + std::to_string(Number), Value);
  }

  static void check(gateway_under_test &Gateway, const std::string &Case,
                    byte_count Before, std::chrono::milliseconds Processor) {
    const bool IsAnswered = Gateway.answersOrdinaryRequest();
    const byte_count Peak = Gateway.peakMemory();
    std::cout << "  " << Case << ": peak memory " << Peak.value() / 1024
              << " KB, " << Before.value() / 1024 << " KB before, processor "
              << (Gateway.processorTime() - Processor).count() << " ms"
              << (IsAnswered ? ", answered\n" : ", not answered\n");
    CPPUNIT_ASSERT_MESSAGE(Case, Gateway.isAlive());
    CPPUNIT_ASSERT_MESSAGE(Case,
                           Peak.value() <= Before.value() + OddShare.value());
    CPPUNIT_ASSERT_MESSAGE(Case, IsAnswered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_writer_process_test);
