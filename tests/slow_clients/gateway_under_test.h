#ifndef TESTS_SLOW_CLIENTS_GATEWAY_UNDER_TEST_H
#define TESTS_SLOW_CLIENTS_GATEWAY_UNDER_TEST_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_kernel/clock/runtime_clock.h"
#include "platform/emulator/store_service.h"
#include "tests/harness/child_process.h"
#include "tests/slow_clients/crowd.h"
#include "tests/slow_clients/test_server.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bw::slow_clients {

/// The limits in the settings of the gateway, which are also the bounds that a
/// test checks.
struct gateway_limits {
  byte_count Memory = mebibytes(80);
  std::size_t Descriptors = 4100;
  /// Short, so that connections of earlier tests and of the crowd end in the
  /// test.
  duration IdleTimeout = std::chrono::seconds(5);
};

/// A gateway process with an emulated store. The path `/crowd/` leads to
/// servers of the given conduct, `/ordinary/` to a server that answers.
class gateway_under_test {
public:
  /// The host that requests name.
  static constexpr std::string_view VirtualHost = "slow.example";

  /// Waits until the gateway is ready. \throws harness_error
  gateway_under_test(gateway_limits Limits, server_conduct Conduct);
  ~gateway_under_test();
  gateway_under_test(const gateway_under_test &) = delete;
  gateway_under_test &operator=(const gateway_under_test &) = delete;

  const caller_address &address() const { return Address; }
  /// The process that was started still runs.
  bool isAlive() { return Process->isRunning(); }
  /// Peak of the resident memory since the start; 0 once it has ended.
  byte_count peakMemory() const { return Process->peakMemory(); }
  /// Descriptors that are open now.
  std::size_t openDescriptors() const { return Process->openDescriptors(); }
  /// Processor time of the process.
  std::chrono::milliseconds processorTime() const {
    return Process->processorTime();
  }
  platform::store_service &store() { return Store; }
  /// Ends the server behind `/ordinary/`, if there is one, and adds another.
  void replaceOrdinaryServer();
  /// Asks `/ordinary/` once.
  bool answersOnce() const;
  /// Asks `/ordinary/` until it is answered, for up to half a minute.
  bool answersOrdinaryRequest() const;

  /// A request for a body of `Size` bytes.
  static std::string request(const std::string &Path, std::size_t Size);
  /// The head and body of a request; only `Sent` bytes of the body follow.
  static std::string upload(std::size_t Length, std::size_t Sent);

private:
  std::unique_ptr<test_server> addServer(const std::string &Name,
                                         const std::string &Service,
                                         server_conduct Conduct);
  void writeConfiguration(duration IdleTimeout);
  std::string writeSettings(gateway_limits Limits) const;

  runtime_clock Clock;
  caller_address Address;
  platform::store_service Store;
  std::vector<std::unique_ptr<test_server>> Servers;
  std::unique_ptr<test_server> Ordinary;
  backend_server_id OrdinaryId;
  std::uint64_t LastServer = 0;
  std::string SettingsFile;
  std::unique_ptr<harness::child_process> Process;
};

} // namespace bw::slow_clients

#endif
