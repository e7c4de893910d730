#include "bw_resources/budget/budget_options.h"

#include <algorithm>

using namespace bw;

namespace {

// Memory that the program and a configuration of the design size need; a
// process with little memory has a smaller configuration.
constexpr byte_count ProgramMemory = mebibytes(64);
constexpr double ProgramShare = 0.4;
constexpr double CallerMemoryShare = 0.75;
// Descriptors for files, and for other hosts, the store, readiness checks and
// operators.
constexpr std::uint64_t FileDescriptors = 200;
constexpr std::uint64_t ServiceDescriptors = 64;
// A caller connection needs less than one server connection, because idle
// callers need none.
constexpr double CallerDescriptorShare = 0.6;

std::uint64_t shareOf(std::uint64_t Whole, double Share) {
  return static_cast<std::uint64_t>(static_cast<double>(Whole) * Share);
}

} // namespace

process_budget_options bw::divideLimits(const process_limits &Limits) {
  process_budget_options Result;
  if (Limits.Memory) {
    const std::uint64_t Memory = Limits.Memory->value();
    const std::uint64_t Left =
        Memory - std::min(ProgramMemory.value(), shareOf(Memory, ProgramShare));
    Result.CallerBytes = byte_count(shareOf(Left, CallerMemoryShare));
    Result.ServerBytes = byte_count(Left - Result.CallerBytes.value());
  }
  if (Limits.Descriptors) {
    constexpr std::uint64_t Reserved = FileDescriptors + ServiceDescriptors;
    // One of each kind lets the process serve requests whatever the limit.
    const std::uint64_t Left =
        std::max<std::uint64_t>(*Limits.Descriptors, Reserved + 2) - Reserved;
    const std::uint64_t Callers =
        std::max<std::uint64_t>(1, shareOf(Left, CallerDescriptorShare));
    Result.CallerConnections = connection_count(Callers);
    Result.ServerConnections = connection_count(Left - Callers);
  }
  return Result;
}
