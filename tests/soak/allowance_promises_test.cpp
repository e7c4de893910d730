// The checker must find windows in which too many requests of a customer ran,
// and none where hosts kept to its allowance.

#include "tests/soak/promise_checker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

const host_id Host("h1");
const service_id Service("records");
const customer_id Township("township");
// In 5 s: (20 x 5 + 20) x 1.1 + 20 = 152, and (4 x 5 + 4) x 1.1 + 20 = 46.4.
const customer_allowance High{.Rate = request_rate(20), .Burst = 20};
const customer_allowance Low{.Rate = request_rate(4), .Burst = 4};

struct quota_case {
  const char *Course;
  duration RunFrom;
  duration RunTo;
  int Runs;
  bool IsDeclined;
  /// The host has no contact to the store from 19 s on.
  bool IsOutOfTouch;
  /// Each request reaches servers so often.
  int Attempts;
  const char *Found;
};

// The allowance is lowered from high to low at 20 s. The host, in touch, has it
// by 22.5 s, so windows that begin later are bound by it.
const quota_case QuotaCases[] = {
    {"at the bound", 10s, 14s, 152, false, false, 1, ""},
    {"above the bound", 10s, 14s, 153, false, false, 1, "QUOTA "},
    {"above the bound in two windows", 9s, 19500ms, 370, false, false, 1,
     "QUOTA QUOTA "},
    {"twice the bound in two windows' time", 5s, 14900ms, 290, false, false, 1,
     ""},
    {"declined ones did not run", 10s, 14s, 153, true, false, 1, ""},
    {"repeats of a request", 10s, 14s, 100, false, false, 3, ""},
    {"lowered, before all hosts have it", 20s, 22s, 152, false, false, 1, ""},
    {"lowered, in the window after", 22s, 26s, 100, false, false, 1, ""},
    {"lowered, at the bound", 28s, 32s, 46, false, false, 1, ""},
    {"lowered, above the bound", 28s, 32s, 47, false, false, 1, "QUOTA "},
    {"lowered, host out of touch", 28s, 32s, 152, false, true, 1, ""},
    {"host out of touch, above the old bound", 28s, 32s, 153, false, true, 1,
     "QUOTA "},
};

} // namespace

class allowance_promises_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(allowance_promises_test);
  CPPUNIT_TEST(findsWindowsAboveTheBound);
  CPPUNIT_TEST(aServedRouteShowsTheVersion);
  CPPUNIT_TEST(countsRefusalsInsideTheAllowance);
  CPPUNIT_TEST_SUITE_END();

public:
  void findsWindowsAboveTheBound() {
    for (const quota_case &Case : QuotaCases) {
      begin(Case.IsOutOfTouch);
      play(Case);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Course, std::string(Case.Found),
                                   found());
    }
  }

  // Guards against a host that is cut off from the store and has the lowered
  // limit from another host.
  void aServedRouteShowsTheVersion() {
    begin(true);
    ask("new", 21s, "", config_version(2));
    answer("new", 200, 21s);
    play({"", 28s, 32s, 47, false, true, 1, ""});
    CPPUNIT_ASSERT(found().ends_with("QUOTA "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(47), Checker->allowances().LoweredWindows);
  }

  void countsRefusalsInsideTheAllowance() {
    begin(false);
    for (int Count = 0; Count < 21; ++Count) {
      ask("r" + std::to_string(Count), 10s, "township-key");
      answer("r" + std::to_string(Count), 429, 10s);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), Checker->allowances().Refused);
    // The last one is beyond the burst.
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), Checker->allowances().RefusedInside);
    ask("other", 10s, "state-key");
    answer("other", 429, 10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), Checker->allowances().RefusedInside);
    CPPUNIT_ASSERT_EQUAL(std::string(), found());
  }

private:
  static time_point at(duration Time) { return time_point(100s + Time); }

  void begin(bool IsOutOfTouch) {
    Checker = std::make_unique<promise_checker>();
    Checker->hostStarted(Host, at(0s));
    if (IsOutOfTouch)
      Checker->hostDisturbed(Host, at(19s), at(100s));
    Checker->keyWritten("township-key", Township, {});
    Checker->keyWritten("state-key", customer_id("state"), {});
    write(1, High, 1s);
    write(2, Low, 20s);
  }

  void write(std::uint64_t Number, const customer_allowance &Allowance,
             duration At) {
    const config_version Version(Number);
    Checker->versionAcknowledged(Version, at(At));
    Checker->allowanceWritten(Township, Allowance, Version, at(At));
  }

  void play(const quota_case &Case) {
    duration Checked = 0s;
    for (int Count = 0; Count < Case.Runs; ++Count) {
      const duration Now =
          Case.RunFrom + (Case.RunTo - Case.RunFrom) * Count / Case.Runs;
      for (; Checked < Now; Checked += 500ms)
        Checker->checkWindows(at(Checked));
      const std::string Name = "r" + std::to_string(Count);
      ask(Name, Now, "township-key");
      for (int Attempt = 0; Attempt < Case.Attempts; ++Attempt)
        Checker->arrived(
            {.Server = backend_server_id("s1"),
             .Service = Service,
             .Label = request_label(Name),
             .Headers = {{promise_bounds{}.CustomerField, Township.value()}},
             .IsDeclined = Case.IsDeclined,
             .At = at(Now)});
    }
    Checker->checkWindows(at(Case.RunTo + 1s));
  }

  void ask(const std::string &Name, duration At, const std::string &Key,
           config_version Since = {}) {
    Checker->asked({.Label = request_label(Name),
                    .Host = Host,
                    .Key = Key,
                    .IsRepeatable = true,
                    .Services = {Service},
                    .Since = Since,
                    .At = at(At)});
  }

  void answer(const std::string &Name, int Status, duration At) {
    Checker->answered({.Label = request_label(Name),
                       .Status = Status,
                       .IsComplete = true,
                       .At = at(At)});
  }

  /// Repeats of requests also use up the budget of retries.
  std::string found() const {
    std::string Result;
    for (const violation &Each : Checker->violations())
      if (Each.Promise != "BUDGET")
        Result += Each.Promise + " ";
    return Result;
  }

  std::unique_ptr<promise_checker> Checker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_promises_test);
