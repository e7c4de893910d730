#ifndef BW_GATEWAY_ENGINE_ENGINE_FIXTURE_TEST_H
#define BW_GATEWAY_ENGINE_ENGINE_FIXTURE_TEST_H

#include "bw_gateway/engine/gateway_engine.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// Set-up that the tests of the engine and of its customers share.
namespace bw::engine_test {

/// Credentials with a key that can be read.
presented_key key(const std::string &Key);
customer customerOf(const std::string &Name,
                    const std::vector<std::string> &Keys,
                    customer_allowance Allowance = {});
std::shared_ptr<const customer_directory>
directoryOf(std::vector<customer> Customers);

/// A server in the data centre "near".
listed_server serverOf(const std::string &Name, const service_id &Service,
                       slot_count Slots = slot_count(4));
/// The servers "server-0", "server-1" and so on.
servers_listed serversOf(const service_id &Service, int Count,
                         slot_count Slots = slot_count(4));

/// An engine with its time, and the events that reach it.
class engine_fixture : public CppUnit::TestFixture {
protected:
  using commands = gateway_engine::commands;

  commands handle(const gateway_event &Event);
  /// Gives the request the next number and the virtual host of the tests.
  commands receive(request_arrived Request);
  commands end(const start_attempt &Attempt, attempt_outcome Outcome,
               int Status = 0);
  /// Ticks whenever the engine is due until the time has passed.
  commands advance(duration Step);

  template <typename Command> static Command only(const commands &Out) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.size());
    CPPUNIT_ASSERT(std::holds_alternative<Command>(Out.front()));
    return std::get<Command>(Out.front());
  }
  template <typename Command> static bool startsWith(const commands &Out) {
    return !Out.empty() && std::holds_alternative<Command>(Out.front());
  }

  std::unique_ptr<gateway_engine> Engine;
  time_point Now{std::chrono::seconds(100)};
  request_number LastRequest;
  /// Called after each event with the commands so far.
  std::function<void(commands &)> AfterEvent = [](commands &) {};
};

} // namespace bw::engine_test

#endif
