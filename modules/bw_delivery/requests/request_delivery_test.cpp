#include "bw_delivery/requests/request_delivery.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const daemon_id Entry{host_id("a"), incarnation_id(7)};
const request_id Id{Entry, sequence_number(3)};

/// Drives one request and records its commands as a string of short words.
struct driver {
  explicit driver(bool Repeatable, bool Budget = true)
      : Machine(Id, time_point(10s), options(Repeatable, Budget)) {}

  static request_delivery_options options(bool Repeatable, bool Budget) {
    request_delivery_options Options;
    Options.Repeatable = Repeatable;
    Options.TryRetry = [Budget] { return Budget; };
    return Options;
  }

  attempt_id attempt(std::uint64_t Number) const {
    return {Id, sequence_number(Number)};
  }
  attempt_target target() {
    const std::string Name = std::to_string(++Servers);
    return {{host_id("o" + Name), incarnation_id(1)}, backend_server_id(Name)};
  }
  void take(const delivery_commands &Commands) {
    for (const delivery_command &Command : Commands)
      std::visit([this](const auto &Step) { word(Step); }, Command);
  }
  void word(const pick_server &) { Words += "pick "; }
  void word(const forward_request &Command) {
    Words += Command.Resume
                 ? "resume:" + std::to_string(Command.Resume->First.value()) +
                       Command.Resume->Tag.value() + " "
                 : "forward ";
  }
  void word(const send_fence &) { Words += "fence "; }
  void word(const cancel_attempt &) { Words += "cancel "; }
  void word(const relay_head &) { Words += "relay "; }
  void word(const relay_resumed &) { Words += "relay-resumed "; }
  void word(const discard_answer &) { Words += "discard "; }
  void word(const end_answer &) { Words += "end "; }
  void word(const abort_answer &) { Words += "abort "; }
  void word(const report_outcome &Command) {
    const char *Names[] = {"done", "not-run", "unknown"};
    Words += std::string("tell:") +
             Names[static_cast<int>(Command.Outcome.Reported)] + " ";
  }
  void word(const wake_at &Command) { Wake = Command.At; }

  void start() { take(Machine.start({})); }
  void pick(duration At = 0s) {
    take(Machine.serverPicked(target(), time_point(At)));
  }
  void lost(std::uint64_t Number) {
    take(Machine.answerLost(attempt(Number), time_point(1s)));
  }
  void refused(std::uint64_t Number, bool NotRun = true) {
    take(Machine.attemptRefused(attempt(Number), NotRun, time_point(1s)));
  }
  void fenced(std::uint64_t Number, fence_verdict Verdict,
              attempt_outcome Known = {}) {
    take(Machine.fenceReplied({attempt(Number), Verdict, Known},
                              time_point(1s)));
  }
  void head(std::uint64_t Number, std::uint16_t Status = 200,
            const char *Tag = "\"v1\"", std::uint64_t First = 0,
            request_id Claimed = Id) {
    answer_head Head{std::move(Claimed), answer_status(Status),
                     entity_tag(Tag),    byte_count(100 - First),
                     byte_count(First),  byte_count(100)};
    take(Machine.answerHead(attempt(Number), Head, time_point(1s)));
  }
  void data(std::uint64_t Number, std::uint64_t Bytes) {
    take(Machine.dataRelayed(attempt(Number), byte_count(Bytes),
                             time_point(1s)));
  }
  void ended(std::uint64_t Number) {
    take(Machine.answerEnded(attempt(Number), time_point(1s)));
  }
  void timer(duration At) { take(Machine.timer(time_point(At))); }
  void cancelled() { take(Machine.callerCancelled(time_point(1s))); }

  request_delivery Machine;
  int Servers = 0;
  std::string Words;
  time_point Wake{};
};

struct fault_case {
  const char *GuardsAgainst;
  std::function<void(driver &)> Steps;
  const char *Words;
};

const request_id OtherId{Entry, sequence_number(4)};
constexpr attempt_outcome Okay{request_outcome::Done, answer_status(201)};

} // namespace

class request_delivery_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_delivery_test);
  CPPUNIT_TEST(submissionsRunAtMostOnce);
  CPPUNIT_TEST(repeatableRequestsAreRetriedAndHedged);
  CPPUNIT_TEST(transfersResumeOrAbortVisibly);
  CPPUNIT_TEST(retriesNeedTheBudget);
  CPPUNIT_TEST_SUITE_END();

  static void check(const std::vector<fault_case> &Cases, bool Repeatable,
                    bool Budget = true) {
    for (const fault_case &Case : Cases) {
      driver Driver(Repeatable, Budget);
      Driver.start();
      Driver.pick();
      Driver.Words.clear();
      Case.Steps(Driver);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.GuardsAgainst, std::string(Case.Words),
                                   Driver.Words);
    }
  }

public:
  void submissionsRunAtMostOnce() {
    using verdict = fence_verdict;
    check(
        {{"a retry without a fence after a lost answer",
          [](driver &D) { D.lost(1); }, "fence "},
         {"'unknown' although the fence stopped the attempt in time",
          [](driver &D) { D.lost(1), D.fenced(1, verdict::NotRun); },
          "fence pick "},
         {"a retry after the outcome is known",
          [](driver &D) { D.lost(1), D.fenced(1, verdict::Outcome, Okay); },
          "fence tell:done "},
         {"'not run' for something that may have run",
          [](driver &D) { D.lost(1), D.fenced(1, verdict::MayHaveRun); },
          "fence tell:unknown "},
         {"'not run' when the owner incarnation is gone",
          [](driver &D) { D.lost(1), D.fenced(1, verdict::OwnerGone); },
          "fence tell:unknown "},
         {"discarding an answer that arrives while the attempt is fenced",
          [](driver &D) {
            D.lost(1), D.fenced(1, verdict::Running), D.head(1);
            D.data(1, 100), D.ended(1);
          },
          "fence relay end "},
         {"waiting indefinitely for an owner that does not respond",
          [](driver &D) { D.timer(2s), D.timer(10s), D.timer(10500ms); },
          "fence fence tell:unknown "},
         {"a retry without a fence after an attempt that may have run was "
          "refused",
          [](driver &D) { D.refused(1, false); }, "fence "},
         {"'unknown' for a certain refusal", [](driver &D) { D.refused(1); },
          "pick "},
         {"relaying the answer of another request",
          [](driver &D) { D.head(1, 200, "", 0, OtherId); }, "discard fence "},
         {"a truncated answer that ends cleanly",
          [](driver &D) { D.head(1), D.data(1, 50), D.ended(1); },
          "relay abort "},
         {"a submission that is not tracked after its caller disconnected",
          [](driver &D) {
            D.cancelled(), D.fenced(1, verdict::Running), D.head(1);
            D.data(1, 100), D.ended(1);
          },
          "fence relay end "},
         {"a retry after the caller disconnected",
          [](driver &D) { D.cancelled(), D.fenced(1, verdict::NotRun); },
          "fence tell:not-run "},
         {"a hedge of a submission", [](driver &D) { D.timer(500ms); }, ""},
         {"acting on late events of a closed attempt",
          [](driver &D) { D.refused(1), D.lost(1), D.head(1); }, "pick "}},
        false);
  }

  void repeatableRequestsAreRetriedAndHedged() {
    check({{"an error although another server could answer",
            [](driver &D) { D.lost(1); }, "cancel pick "},
           {"a slow server that delays a repeatable request",
            [](driver &D) { D.timer(400ms), D.pick(400ms), D.head(2); },
            "pick forward cancel relay "},
           {"relaying the answers of both attempts",
            [](driver &D) {
              D.timer(400ms), D.pick(400ms), D.head(1), D.head(2);
            },
            "pick forward cancel relay "},
           {"reporting a failure while the hedge may still answer",
            [](driver &D) { D.timer(400ms), D.pick(400ms), D.lost(1); },
            "pick forward cancel "},
           {"'not run' for a repeatable request that may have run",
            [](driver &D) { D.lost(1), D.pick(9s), D.timer(10s); },
            "cancel pick forward cancel tell:unknown "},
           {"an unlimited number of attempts",
            [](driver &D) {
              D.refused(1), D.pick(1s), D.refused(2), D.pick(1s);
              D.refused(3), D.pick(1s), D.refused(4);
            },
            "pick forward pick forward pick forward tell:not-run "}},
          true);
  }

  void transfersResumeOrAbortVisibly() {
    const auto Broken = [](driver &D) {
      D.head(1), D.data(1, 40), D.lost(1), D.pick(1s);
    };
    check(
        {{"aborting a broken transfer that can be resumed",
          [&](driver &D) {
            Broken(D), D.head(2, 206, "\"v1\"", 40), D.data(2, 60);
            D.ended(2);
          },
          "relay pick resume:40\"v1\" relay-resumed end "},
         {"mixing the bytes of two versions in one answer",
          [&](driver &D) { Broken(D), D.head(2, 206, "\"v2\"", 40); },
          "relay pick resume:40\"v1\" cancel abort "},
         {"appending a complete answer to a partial one",
          [&](driver &D) { Broken(D), D.head(2, 200, "\"v1\""); },
          "relay pick resume:40\"v1\" cancel abort "},
         {"a gap in the relayed bytes",
          [&](driver &D) { Broken(D), D.head(2, 206, "\"v1\"", 50); },
          "relay pick resume:40\"v1\" cancel abort "},
         {"a resumption under a weak validator",
          [](driver &D) {
            D.head(1, 200, "W/\"v1\""), D.data(1, 40), D.lost(1);
          },
          "relay abort "},
         {"a truncated answer that ends cleanly",
          [](driver &D) { D.head(1), D.data(1, 40), D.ended(1); },
          "relay pick "},
         {"a connection that stalls during the transfer",
          [](driver &D) { D.head(1), D.data(1, 40), D.timer(4s); },
          "relay cancel pick "},
         {"a resumption that is never answered",
          [&](driver &D) { Broken(D), D.timer(4s); },
          "relay pick resume:40\"v1\" cancel pick "},
         {"treating a slow caller as a stalled server",
          [](driver &D) {
            D.head(1), D.data(1, 40);
            D.Machine.transferPaused(true, time_point(1s)), D.timer(9s);
          },
          "relay "},
         {"more bytes than declared",
          [](driver &D) { D.head(1), D.data(1, 101); }, "relay cancel abort "},
         {"a transfer that outlives its deadline",
          [](driver &D) { D.head(1), D.timer(10s); }, "relay cancel abort "}},
        true);
  }

  void retriesNeedTheBudget() {
    const std::vector<fault_case> Cases = {
        {"a retry storm after refusals", [](driver &D) { D.refused(1); },
         "tell:not-run "},
        {"hedges beyond the budget", [](driver &D) { D.timer(400ms); }, ""},
        {"resumptions beyond the budget",
         [](driver &D) { D.head(1), D.data(1, 40), D.lost(1); },
         "relay abort "}};
    check(Cases, true, false);
    check({{"a retry storm after fences",
            [](driver &D) { D.lost(1), D.fenced(1, fence_verdict::NotRun); },
            "fence tell:not-run "}},
          false, false);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_delivery_test);
