// Tests the queries between hosts whether a configuration is current, over
// loopback sockets.

#include "bw_gateway_daemon/peers/peer_report_service.h"

#include "bw_kernel/services/kernel.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>

using namespace bw;
using namespace std::chrono_literals;

namespace {

class event_sink : public gateway_event_sink {
public:
  explicit event_sink(runtime_clock &Clock)
      : gateway_event_sink(std::string(ServiceName)),
        Events(Clock,
               {.Capacity = 4096, .Overflow = overflow_policy::DropOldest}) {}
  void attach(service_registry &) override {}
  void start() override {}
  void stop() override {}
  gateway_event_ring &events() override { return Events; }

private:
  gateway_event_ring Events;
};

std::uint16_t freePort() {
  asio::io_context Context;
  const asio::ip::udp::socket Socket(Context,
                                     {asio::ip::address_v4::loopback(), 0});
  return Socket.local_endpoint().port();
}

gateway_host host(const std::string &Name) {
  return {.Host = host_id(Name),
          .DataCentre = data_centre_id("a"),
          .Ip = "127.0.0.1",
          .ReportPort = freePort(),
          .ExchangePort = 1};
}

std::shared_ptr<const gateway_configuration>
configuration(std::uint64_t Version) {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(Version);
  Result->Customers = std::make_shared<const customer_directory>(
      std::vector<customer>{{.Name = customer_id("one")}});
  return Result;
}

/// A host without followers of the store.
struct running_host {
  explicit running_host(const gateway_host &Self) : Self(Self) {
    Kernel.add<event_sink>(Clock);
    State = &Kernel.add<platform_state>(
        Clock, platform_state_options{.Self = Self,
                                      .Freshness = {.Bound = 5s},
                                      .Seed = Self.ReportPort});
    Kernel.add<exchange_fetch_service>(Clock, exchange_fetch_options{});
    Kernel.add<peer_report_service>(
        Clock,
        peer_report_options{.Port = Self.ReportPort, .Seed = Self.ReportPort});
    Kernel.start();
  }
  ~running_host() { Kernel.stop(); }
  running_host(const running_host &) = delete;
  running_host &operator=(const running_host &) = delete;

  bool becomesFresh(duration Limit) const {
    for (const time_point End = Clock.now() + Limit; Clock.now() < End;) {
      if (State->mayServeKeys())
        return true;
      std::this_thread::sleep_for(2ms);
    }
    return false;
  }

  gateway_host Self;
  runtime_clock Clock;
  kernel Kernel;
  platform_state *State = nullptr;
};

} // namespace

class verification_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(verification_test);
  CPPUNIT_TEST(aHostGetsAProofFromAnother);
  CPPUNIT_TEST(anUnlistedHostGetsAProof);
  CPPUNIT_TEST(aHostWithAnOlderVersionGetsNone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an idle host, or a new one before its first request, that
  // does not ask, and against a proof that is younger than that of its source.
  void aHostGetsAProofFromAnother() {
    const gateway_host A = host("a");
    const gateway_host B = host("b");
    running_host First(A);
    running_host Second(B);
    for (running_host *Each : {&First, &Second}) {
      Each->State->offerHosts({A, B});
      Each->State->offerConfiguration(configuration(1));
    }
    CPPUNIT_ASSERT(!Second.State->mayServeKeys());
    const boot_time_point Proven = First.Clock.bootNow() - 1s;
    First.State->recordProof(config_version(1), Proven);
    CPPUNIT_ASSERT(Second.becomesFresh(3s));
    CPPUNIT_ASSERT(Second.Clock.bootNow() - *Second.State->proofAge() <=
                   Proven + 1ms);
    // Proofs spread on, without any request.
    First.State->recordProof(config_version(1), First.Clock.bootNow());
    for (int Count = 0; Count < 1500; ++Count) {
      if (Second.State->proofAge() < duration(1s))
        return;
      std::this_thread::sleep_for(2ms);
    }
    CPPUNIT_FAIL("the host did not ask again");
  }

  // Guards against replies that are sent only to hosts which the store lists.
  void anUnlistedHostGetsAProof() {
    const gateway_host A = host("a");
    const gateway_host B = host("b");
    running_host First(A);
    running_host Second(B);
    First.State->offerConfiguration(configuration(1));
    First.State->recordProof(config_version(1), First.Clock.bootNow());
    Second.State->offerHosts({A, B});
    Second.State->offerConfiguration(configuration(1));
    CPPUNIT_ASSERT(Second.becomesFresh(3s));
  }

  // Guards against a restarted host that is given an old version.
  void aHostWithAnOlderVersionGetsNone() {
    const gateway_host A = host("a");
    const gateway_host B = host("b");
    running_host First(A);
    running_host Second(B);
    First.State->offerConfiguration(configuration(2));
    First.State->recordProof(config_version(2), First.Clock.bootNow());
    Second.State->offerHosts({A, B});
    Second.State->offerConfiguration(configuration(1));
    CPPUNIT_ASSERT(!Second.becomesFresh(700ms));
    Second.State->offerConfiguration(configuration(2));
    CPPUNIT_ASSERT(Second.becomesFresh(3s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(verification_test);
