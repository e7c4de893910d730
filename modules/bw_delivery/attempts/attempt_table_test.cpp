#include "bw_delivery/attempts/attempt_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace bw;
using namespace std::chrono_literals;

namespace {

/// An executor and an owner whose clocks differ by one hour.
struct owner_and_executor {
  explicit owner_and_executor(attempt_table_options Options = {})
      : Table(Options) {}

  attempt_offer offer(std::uint64_t Number, duration IssuedAt,
                      duration Remaining = 1s) const {
    return {attempt(Number), senderTime(time_point(IssuedAt)), Remaining};
  }
  attempt_id attempt(std::uint64_t Number) const {
    return {{Executor, sequence_number(Number)}, sequence_number(1)};
  }
  attempt_acceptance accept(std::uint64_t Number, duration IssuedAt,
                            duration ArrivesAt) {
    return Table.accept(offer(Number, IssuedAt), owner(ArrivesAt));
  }
  fence_verdict fence(std::uint64_t Number, duration IssuedAt,
                      duration AskedAt) {
    const fence_request Request{attempt(Number),
                                senderTime(time_point(AskedAt)),
                                offer(Number, IssuedAt).deadline()};
    return Table.fence(Request, owner(AskedAt + 1ms)).Verdict;
  }
  bool send(std::uint64_t Number, duration At) {
    return Table.markSent(attempt(Number), owner(At));
  }
  static time_point owner(duration Executors) {
    return time_point(Executors + 1h);
  }

  daemon_id Executor{host_id("a"), incarnation_id(7)};
  attempt_table Table;
};

constexpr attempt_outcome Okay{request_outcome::Done, answer_status(200)};

} // namespace

class attempt_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_table_test);
  CPPUNIT_TEST(fenceReportsOnlyCertainOutcomes);
  CPPUNIT_TEST(lateCopiesNeverRun);
  CPPUNIT_TEST(refusalPastDeadlineIsFinal);
  CPPUNIT_TEST(memoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void fenceReportsOnlyCertainOutcomes() {
    using steps = std::function<void(owner_and_executor &)>;
    struct fault_case {
      const char *GuardsAgainst;
      steps Before;
      fence_verdict Verdict;
      bool MayBeSentAfter;
    };
    const steps Queue = [](auto &Pair) { Pair.accept(1, 0ms, 1ms); };
    const steps Send = [Queue](auto &Pair) {
      Queue(Pair);
      CPPUNIT_ASSERT(Pair.send(1, 2ms));
    };
    const fault_case Cases[] = {
        {"a run of a forward message that arrives after the fence",
         [](auto &) {}, fence_verdict::NotRun, false},
        {"a run of a queued attempt after 'not run' was reported", Queue,
         fence_verdict::NotRun, false},
        {"'not run' for a sent attempt", Send, fence_verdict::Running, false},
        {"'unknown' although the outcome is known",
         [Send](auto &Pair) {
           Send(Pair);
           Pair.Table.markAnswered(Pair.attempt(1), Okay);
         },
         fence_verdict::Outcome, false},
        {"'may have run' for an attempt that the owner dropped",
         [Queue](auto &Pair) {
           Queue(Pair);
           Pair.Table.markRefused(Pair.attempt(1));
         },
         fence_verdict::NotRun, false},
        {"'not run' after the record of an answered attempt was dropped",
         [Send](auto &Pair) {
           Send(Pair);
           Pair.Table.markAnswered(Pair.attempt(1), Okay);
           Pair.accept(2, 40s, 40s);
         },
         fence_verdict::MayHaveRun, false},
    };
    for (const fault_case &Case : Cases) {
      owner_and_executor Pair;
      Case.Before(Pair);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst,
                             Pair.fence(1, 0ms, 50ms) == Case.Verdict);
      Pair.accept(1, 0ms, 60ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, Case.MayBeSentAfter,
                                   Pair.send(1, 61ms));
    }
  }

  void lateCopiesNeverRun() {
    struct fault_case {
      const char *GuardsAgainst;
      duration ArrivesAt;
      duration NextMessageAt;
      bool Fenced;
      attempt_verdict Verdict;
      bool NotRun;
    };
    const fault_case Cases[] = {
        {"a refusal of an attempt that arrives in time", 10ms, 0ms, false,
         attempt_verdict::Accepted, false},
        {"a run past the deadline after the owner was paused", 1500ms, 0ms,
         false, attempt_verdict::PastDeadline, true},
        {"a run of a fenced attempt that arrives late", 500ms, 0ms, true,
         attempt_verdict::Fenced, true},
        {"a run after a message showed that the deadline has passed", 10ms,
         1100ms, false, attempt_verdict::PastDeadline, true},
        {"a run after the tombstone was dropped", 10min, 9min, true,
         attempt_verdict::PastDeadline, false},
    };
    for (const fault_case &Case : Cases) {
      owner_and_executor Pair;
      Pair.accept(9, 0ms, 1ms);
      if (Case.Fenced)
        Pair.fence(1, 0ms, 50ms);
      if (Case.NextMessageAt > 0ms)
        Pair.accept(8, Case.NextMessageAt, Case.NextMessageAt);
      const attempt_acceptance Late = Pair.accept(1, 0ms, Case.ArrivesAt);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst, Late.Verdict == Case.Verdict);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, Case.NotRun,
                                   Late.NotRun);
    }
  }

  // Guards against accepting a copy of a refused attempt after the fast
  // messages have left the window of the delay estimate.
  void refusalPastDeadlineIsFinal() {
    owner_and_executor Pair({.DelayWindow = 1ms});
    Pair.accept(9, 0ms, 1ms);
    CPPUNIT_ASSERT(Pair.accept(1, 0ms, 1500ms).NotRun);
    Pair.accept(10, 500ms, 20s);
    const attempt_acceptance Copy = Pair.accept(1, 0ms, 20010ms);
    CPPUNIT_ASSERT(Copy.Verdict == attempt_verdict::Fenced);
  }

  // Guards against memory use that grows with the number of fences, and against
  // accepting a fenced attempt whose tombstone was evicted for lack of room.
  void memoryIsBounded() {
    owner_and_executor Pair({.Capacity = 10});
    for (std::uint64_t Number = 1; Number <= 100; ++Number)
      Pair.fence(Number, Number * 1us, 1ms);
    CPPUNIT_ASSERT(Pair.Table.size() <= 10);
    for (std::uint64_t Number = 1; Number <= 100; ++Number) {
      const attempt_acceptance Late = Pair.accept(Number, Number * 1us, 2ms);
      CPPUNIT_ASSERT(Late.Verdict != attempt_verdict::Accepted);
    }
    owner_and_executor Busy({.Capacity = 2});
    Busy.accept(1, 0ms, 0ms);
    Busy.accept(2, 0ms, 0ms);
    const attempt_acceptance Third = Busy.accept(3, 0ms, 0ms);
    CPPUNIT_ASSERT(Third.Verdict == attempt_verdict::Full && !Third.NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_table_test);
