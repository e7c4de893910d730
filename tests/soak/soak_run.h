#ifndef TESTS_SOAK_SOAK_RUN_H
#define TESTS_SOAK_SOAK_RUN_H

#include "tests/soak/promise_checker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bw::soak {

struct soak_options {
  std::uint64_t Seed = 1;
  /// Time in which faults begin; some seconds of recovery follow.
  duration Length = std::chrono::seconds(20);
  int Hosts = 6;
  int ServersPerService = 5;
  int Callers = 12;
  /// Callers of a customer that asks for more than its allowance.
  int GreedyCallers = 3;
  /// Returns of the store from a copy beside the random faults.
  int Restores = 0;
};

struct soak_result {
  std::vector<violation> Violations;
  /// What was done to the fleet, with seconds since the start.
  std::vector<std::string> Timeline;
  /// Log lines of the hosts that name a violated request.
  std::vector<std::string> LogLines;
  std::size_t Requests = 0;
  std::size_t Served = 0;
  std::size_t Unauthenticated = 0;
  allowance_counts Allowances;
  std::size_t Faults = 0;
  /// Returns of the store from a copy, among the faults.
  std::size_t Restores = 0;
  /// Crowds of slow clients that were connected to a host.
  std::size_t Crowds = 0;
  /// Entries that another writer put into the store.
  std::size_t OddWrites = 0;
};

/// Runs the real gateway program as separate processes on loopback, with the
/// emulated store and backend servers behind fault-injecting relays, under
/// overlapping random faults, and checks the promises. The same seed gives the
/// same faults, not the same course.
soak_result runSoak(const soak_options &Options);

/// Prints the result; a timeline if a promise is broken. True: none is.
bool printResult(const soak_options &Options, const soak_result &Result);

} // namespace bw::soak

#endif
