#ifndef TESTS_SLOW_CLIENTS_REPLAY_H
#define TESTS_SLOW_CLIENTS_REPLAY_H

#include "tests/slow_clients/gateway_under_test.h"

#include <functional>
#include <string>
#include <vector>

namespace bw::slow_clients {

/// What the gateway did during a case.
struct replay_result {
  byte_count PeakMemory;
  std::size_t PeakDescriptors = 0;
  /// Ordinary requests sent while the clients were there, and those answered.
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  /// An ordinary request was answered after the clients had left.
  bool IsAnsweredAfterwards = false;
  bool IsAlive = false;
  /// No request of the clients that wait for responses hung.
  bool IsComplete = true;

  /// True if the process lives, stayed within the limits and answered.
  bool isWithin(const gateway_limits &Limits) const;
};

/// Clients against a gateway of their own.
struct replay_case {
  std::string Name;
  std::function<replay_result(gateway_limits)> Play;
};

/// The crowds that docs/hard-load.md lists with figures of the gateway before
/// it had a process budget, and bursts of many requests at once.
std::vector<replay_case> replayCases();

} // namespace bw::slow_clients

#endif
