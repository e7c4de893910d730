// The checker must find what it is there for: one planted violation of each
// promise, and none in a calm course of events.

#include "tests/soak/promise_checker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

const request_label Label("r1");
const host_id Host("h1");
const backend_server_id Server("s1");
const service_id Service("records");

} // namespace

class promise_checker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(promise_checker_test);
  CPPUNIT_TEST(aCalmCourseBreaksNothing);
  CPPUNIT_TEST(findsDoubleRunsAndFalseRefusals);
  CPPUNIT_TEST(findsWrongAnswersAndRequests);
  CPPUNIT_TEST(findsLateWorkAndOldConfigurations);
  CPPUNIT_TEST(findsLossesAtPlannedStops);
  CPPUNIT_TEST(findsStormsAndUnusedServers);
  CPPUNIT_TEST(disturbancesExcuseWhatTheyMay);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Checker = std::make_unique<promise_checker>();
    Checker->hostStarted(Host, at(0s));
    Checker->serverListed(Server, Service, at(0s));
  }

  void aCalmCourseBreaksNothing() {
    ask("r1", 10s);
    arrive("r1", 10s);
    answer("r1", 200, 10s);
    Checker->checkWindows(at(11s));
    Checker->checkRecovery(at(9s), at(11s));
    CPPUNIT_ASSERT_EQUAL(std::string(), found());
  }

  void findsDoubleRunsAndFalseRefusals() {
    ask("r1", 10s);
    arrive("r1", 10s);
    arrive("r1", 11s);
    ask("r2", 10s);
    arrive("r2", 10s);
    answer("r2", 503, 11s);
    ask("r3", 10s);
    answer("r3", 503, 11s);
    arrive("r3", 12s);
    CPPUNIT_ASSERT_EQUAL(std::string("TWICE REFUSED REFUSED "), found());
  }

  void findsWrongAnswersAndRequests() {
    arrive("unknown", 10s);
    ask("r1", 10s);
    arrive("r1", 10s, service_id("archive"));
    ask("r2", 10s);
    answer("r2", 200, 11s);
    ask("r3", 10s);
    arrive("r3", 10s);
    seen_answer Wrong = whole("r3", 200, 11s);
    Wrong.Body[0] = '?';
    Checker->answered(Wrong);
    CPPUNIT_ASSERT_EQUAL(std::string("UNASKED ROUTE MIXED MIXED "), found());
  }

  void findsLateWorkAndOldConfigurations() {
    Checker->serverLeaves(Server, at(10s));
    ask("r1", 13s);
    arrive("r1", 13s);
    Checker->versionAcknowledged(config_version(2), at(10s));
    ask("r2", 13s, config_version(2));
    answer("r2", 404, 13s);
    ask("r3", 14s, config_version(2));
    arrive("r3", 14s);
    answer("r3", 200, 14s);
    ask("r4", 15s, config_version(2));
    Checker->hostDisturbed(Host, at(14s), at(15s));
    answer("r4", 404, 15s);
    CPPUNIT_ASSERT_EQUAL(std::string("DRAIN CONFIG DRAIN CONFIG "), found());
  }

  void findsLossesAtPlannedStops() {
    Checker->hostStops(Host, at(10s));
    ask("r1", 11s);
    arrive("r1", 11s);
    Checker->answered({.Label = request_label("r1"), .At = at(11200ms)});
    ask("r2", 11s);
    Checker->answered({.Label = request_label("r2"), .At = at(11100ms)});
    CPPUNIT_ASSERT_EQUAL(std::string("LOST "), found());
  }

  void findsStormsAndUnusedServers() {
    for (int Count = 0; Count < 60; ++Count) {
      const std::string Name = "r" + std::to_string(Count);
      ask(Name, 10s);
      arrive(Name, 10s, Service, true);
      arrive(Name, 10s, Service, true);
      answer(Name, Count % 3 == 0 ? 500 : 200, 10s);
    }
    for (int Count = 2; Count < 6; ++Count)
      Checker->serverListed(backend_server_id("s" + std::to_string(Count)),
                            Service, at(0s));
    const std::size_t Before = Checker->violations().size();
    Checker->checkWindows(at(11s));
    CPPUNIT_ASSERT_EQUAL(Before + 1, Checker->violations().size());
    CPPUNIT_ASSERT_EQUAL(std::string("FLOOR"),
                         Checker->violations().back().Promise);
    for (int Count = 0; Count < 60; ++Count)
      arrive("r" + std::to_string(Count), 11s, Service, true);
    Checker->checkWindows(at(11s));
    bool IsBudgetFound = false;
    for (const violation &Each : Checker->violations())
      IsBudgetFound = IsBudgetFound || Each.Promise == "BUDGET";
    CPPUNIT_ASSERT(IsBudgetFound);
    Checker->checkRecovery(at(20s), at(21s));
    CPPUNIT_ASSERT_EQUAL(std::string("RECOVER"),
                         Checker->violations().back().Promise);
  }

  void disturbancesExcuseWhatTheyMay() {
    Checker->storeDisturbed(at(9s), at(11s));
    Checker->serverLeaves(Server, at(10s));
    ask("r1", 13s);
    arrive("r1", 13s);
    CPPUNIT_ASSERT_EQUAL(std::string(), found());
    // Nothing excuses a second run.
    arrive("r1", 13s);
    CPPUNIT_ASSERT_EQUAL(std::string("TWICE "), found());
  }

private:
  static time_point at(duration Time) { return time_point(100s + Time); }

  void ask(const std::string &Name, duration At, config_version Since = {}) {
    Checker->asked({.Label = request_label(Name),
                    .Host = Host,
                    .Method = "POST",
                    .Target = "/submit/",
                    .Services = {Service},
                    .Since = Since,
                    .At = at(At)});
  }

  void arrive(const std::string &Name, duration At,
              const service_id &Where = Service, bool IsDeclined = false) {
    Checker->arrived({.Server = Server,
                      .Service = Where,
                      .Label = request_label(Name),
                      .Method = "POST",
                      .Target = "/submit/",
                      .IsDeclined = IsDeclined,
                      .At = at(At)});
  }

  static seen_answer whole(const std::string &Name, int Status, duration At) {
    const request_label Own(Name);
    return {.Label = Own,
            .Status = Status,
            .IsComplete = true,
            .Signature = emulatedSignature(Server, Own),
            .EchoedLabel = Name,
            .Body = emulatedBody(Own, "/submit/", 0),
            .At = at(At)};
  }

  void answer(const std::string &Name, int Status, duration At) {
    Checker->answered(whole(Name, Status, At));
  }

  std::string found() const {
    std::string Result;
    for (const violation &Each : Checker->violations())
      Result += Each.Promise + " ";
    return Result;
  }

  std::unique_ptr<promise_checker> Checker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(promise_checker_test);
