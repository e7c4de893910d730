#ifndef BW_MEASUREMENT_DELIVERY_FAULT_OPTIONS_H
#define BW_MEASUREMENT_DELIVERY_FAULT_OPTIONS_H

#include "bw_core/ids/time.h"

#include <cstddef>
#include <cstdint>

namespace bw {

/// Faults of the simulated network, daemons, store and backend servers. Rates
/// are far above those of a real fleet, so that rare combinations occur.
struct fault_options {
  std::uint64_t Requests = 20'000;
  std::size_t Hosts = 8;
  double RequestsPerSecond = 1'000;

  double LossChance = 0.01;
  double DuplicateChance = 0.01;
  /// Messages that arrive after 100 ms to minutes.
  double LateChance = 0.01;
  duration LateMean = std::chrono::seconds(10);

  duration RestartEvery = std::chrono::seconds(60);
  duration PauseEvery = std::chrono::seconds(20);
  duration PauseMean = std::chrono::seconds(2);

  double StoreLostChance = 0.05;
  duration StoreOutageEvery = std::chrono::seconds(60);
  duration StoreOutageMean = std::chrono::seconds(3);

  double ConnectFailureChance = 0.03;
  double ShedChance = 0.03;
  double SilentServerChance = 0.01;
  double WrongAnswerChance = 0.01;
  double BrokenAnswerChance = 0.03;

  /// Share of tokens of the retry budget per request.
  double RetryBudget = 0.08;
};

} // namespace bw

#endif
