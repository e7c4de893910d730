#include "bw_emulator/servers/emulated_server.h"

#include "bw_http/client/http_call.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

class emulated_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(emulated_server_test);
  CPPUNIT_TEST(answersWithProofAndChecksItsName);
  CPPUNIT_TEST(faultsAreInjected);
  CPPUNIT_TEST(aFullQueueDeclines);
  CPPUNIT_TEST(endlessAnswersDoNotEnd);
  CPPUNIT_TEST(malformedAnswersAreBroken);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    start({.Server = backend_server_id("s1"),
           .Service = service_id("svc"),
           .Work = 1ms});
  }
  void tearDown() override { Server.reset(); }

  // Guards against an emulator in front of which a wrong answer looks right.
  void answersWithProofAndChecksItsName() {
    const call_result Good = call("s1", "/x/5000/a");
    CPPUNIT_ASSERT_EQUAL(200, Good.Response.Status);
    CPPUNIT_ASSERT_EQUAL(
        emulatedBody(request_label("label"), "/x/5000/a", 5000),
        Good.Response.Body);
    CPPUNIT_ASSERT_EQUAL(
        emulatedSignature(backend_server_id("s1"), request_label("label")),
        Good.Response.Headers.find("Bw-Signature").value_or(""));
    const call_result Other = call("s2", "/x/5000/a");
    CPPUNIT_ASSERT_EQUAL(421, Other.Response.Status);
    CPPUNIT_ASSERT(Other.Response.Headers.find("Bw-Not-Run").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Arrivals.size());
  }

  void faultsAreInjected() {
    Server->setFaults({.ErrorShare = 1});
    CPPUNIT_ASSERT_EQUAL(500, call("s1", "/a").Response.Status);
    Server->setFaults({.DeclineShare = 1});
    CPPUNIT_ASSERT_EQUAL(503, call("s1", "/a").Response.Status);
    CPPUNIT_ASSERT(Arrivals.back().IsDeclined);
    Server->setFaults({.TruncateShare = 1});
    CPPUNIT_ASSERT(call("s1", "/x/100000/a").Transfer.Status !=
                   transfer_status::Complete);
    Server->setFaults({.HangShare = 1});
    CPPUNIT_ASSERT(call("s1", "/a").Transfer.Status !=
                   transfer_status::Complete);
  }

  void aFullQueueDeclines() {
    start({.Server = backend_server_id("s1"),
           .Slots = slot_count(1),
           .QueueLength = 1,
           .Work = 300ms});
    Server->setFaults({.SlowFactor = 100});
    std::vector<std::thread> Callers;
    Callers.reserve(4);
    for (int Count = 0; Count < 4; ++Count)
      Callers.emplace_back([this] { call("s1", "/a"); });
    for (std::thread &Each : Callers)
      Each.join();
    int Declined = 0;
    for (const server_arrival &Each : Arrivals)
      Declined += Each.IsDeclined ? 1 : 0;
    CPPUNIT_ASSERT(Declined >= 1);
  }

  // Guards against a soak that believes it sends endless answers.
  void endlessAnswersDoNotEnd() {
    start({.Server = backend_server_id("s1")});
    Server->setFaults({.EndlessShare = 1});
    for (int Count = 0; Count < 4; ++Count)
      CPPUNIT_ASSERT(call("s1", "/a").Transfer.Status ==
                     transfer_status::Broken);
  }

  // The same for malformed ones.
  void malformedAnswersAreBroken() {
    Server->setFaults({.MalformedShare = 1});
    for (int Count = 0; Count < 4; ++Count)
      CPPUNIT_ASSERT(call("s1", "/a").Transfer.Status ==
                     transfer_status::Broken);
  }

private:
  void start(emulated_server_options Options) {
    Options.OnArrival = [this](const server_arrival &Each) {
      Arrivals.push_back(Each);
    };
    Server = std::make_unique<emulated_server>(Clock, std::move(Options));
    Server->start();
  }

  call_result call(const std::string &Expected, const std::string &Path) {
    return callHttp(
        {.Method = "GET",
         .Url = "http://127.0.0.1:" + std::to_string(Server->port()) + Path,
         .Headers = {{"Bw-Request-Id", "label"}, {"Bw-Server", Expected}},
         .Timeout = 500ms,
         .BodyLimit = mebibytes(1)});
  }

  runtime_clock Clock;
  std::vector<server_arrival> Arrivals;
  std::unique_ptr<emulated_server> Server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(emulated_server_test);
