#include "bw_load/burst/burst_load.h"

#include "bw_http/server/http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <vector>

using namespace bw;

class burst_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(burst_load_test);
  CPPUNIT_TEST(everyRequestIsCountedOnce);
  CPPUNIT_TEST(requestsWithoutResponseAreNoSuccess);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are left out of the report or sent twice.
  void everyRequestIsCountedOnce() {
    std::size_t Count = 0;
    http_server Server({.OnRequest = [&](const auto &Exchange) {
      Exchange->respond({.Status = ++Count % 2 == 0 ? 503 : 200,
                         .Headers = {},
                         .Body = "body"});
    }});
    Server.start();
    const burst_report Report = runBurst(options(Server.port()));
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::size_t(25), Report.Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(25), Report.Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), Count);
  }

  // Guards against a hanging server that goes unnoticed.
  void requestsWithoutResponseAreNoSuccess() {
    std::vector<http_exchange_pointer> Kept;
    auto Server = std::make_unique<http_server>(http_server_options{
        .OnRequest = [&](const auto &Each) { Kept.push_back(Each); }});
    Server->start();
    burst_options Options = options(Server->port());
    Options.Limit = std::chrono::milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), runBurst(Options).Overdue);
    Kept.clear();
    Server.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), runBurst(Options).Closed);
  }

private:
  static burst_options options(std::uint16_t Port) {
    return {.Port = Port,
            .Request = "GET / HTTP/1.1\r\nHost: one.example\r\n\r\n",
            .Requests = 50,
            // As many as the server reads ahead.
            .RequestsPerConnection = 2,
            .Limit = std::chrono::seconds(10)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burst_load_test);
