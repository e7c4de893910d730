#include "bw_kernel/log/log_writer.h"

#include "bw_kernel/log/log_event.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>

using namespace bw;
using namespace std::chrono_literals;

namespace {

// Standard output that can be blocked.
class blockable_output {
public:
  void write(const std::string &Text) {
    std::unique_lock Lock(Mutex);
    IsWriting = true;
    Changed.notify_all();
    Changed.wait(Lock, [this] { return !IsBlocked; });
    Content += Text;
    Changed.notify_all();
  }
  void block(bool Blocked) {
    const std::lock_guard Guard(Mutex);
    IsBlocked = Blocked;
    IsWriting = false;
    Changed.notify_all();
  }
  void waitUntilWriting() {
    std::unique_lock Lock(Mutex);
    CPPUNIT_ASSERT(Changed.wait_for(Lock, 5s, [this] { return IsWriting; }));
  }
  std::string waitFor(const std::string &Text) {
    std::unique_lock Lock(Mutex);
    CPPUNIT_ASSERT(Changed.wait_for(
        Lock, 5s, [&] { return Content.find(Text) != std::string::npos; }));
    return Content;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::string Content;
  bool IsBlocked = false;
  bool IsWriting = false;
};

} // namespace

class log_writer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_writer_test);
  CPPUNIT_TEST(writesEventsWithTimeAndHost);
  CPPUNIT_TEST(aBlockedOutputNeverBlocksTheCallers);
  CPPUNIT_TEST(linesAboveTheRateAreDroppedAndCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lines that nobody can place, and against values that forge
  // a second line.
  void writesEventsWithTimeAndHost() {
    log_writer Writer(Clock, options());
    Writer.start();
    logEvent(log_event::CallerLeft, {{"request", "a\nb"}});
    const std::string Text = Output.waitFor("caller_left");
    Writer.stop();
    CPPUNIT_ASSERT(Text.find("Z host=entry-1 BW1107 caller_left "
                             "request=\"a\\x0ab\"\n") != Text.npos);
  }

  // Guards against a daemon that stops with its log collector.
  void aBlockedOutputNeverBlocksTheCallers() {
    log_writer_options Options = options();
    Options.Capacity = 10;
    log_writer Writer(Clock, Options);
    Output.block(true);
    Writer.start();
    Writer.add("first");
    Output.waitUntilWriting();
    constexpr int Lines = 1000;
    for (int Count = 0; Count < Lines; ++Count)
      Writer.add("line");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(Lines - 10), Writer.droppedLines());
    Output.block(false);
    Output.waitFor("BW1006 log_lines_dropped count=990");
    Writer.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), Writer.writtenLines());
  }

  // Guards against logs that take the processor of an overloaded host.
  void linesAboveTheRateAreDroppedAndCounted() {
    log_writer_options Options = options();
    Options.LinesPerSecond = 100;
    Options.Burst = 50;
    Clock.pause();
    log_writer Writer(Clock, Options);
    int Taken = 0;
    for (int Count = 0; Count < 1000; ++Count)
      Taken += Writer.add("line") ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(50, Taken);
    Clock.advance(100ms);
    for (int Count = 0; Count < 1000; ++Count)
      Taken += Writer.add("line") ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(60, Taken);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1940), Writer.droppedLines());
  }

private:
  log_writer_options options() {
    return {.GatherTime = 1ms,
            .Host = "entry-1",
            .Write = [this](const std::string &Text) { Output.write(Text); }};
  }

  runtime_clock Clock;
  blockable_output Output;
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_writer_test);
