// Replays clients that hold the gateway's memory and descriptors, and bursts,
// against one gateway process and prints what it used.

#include "tests/slow_clients/replay.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>

using namespace bw::slow_clients;

namespace {

bool play(const replay_case &Case, const gateway_limits &Limits) {
  std::cout << Case.Name << std::endl;
  const replay_result Result = Case.Play(Limits);
  const bool IsWithin = Result.isWithin(Limits);
  std::cout << "  peak memory " << Result.PeakMemory.value() / 1'000'000
            << " MB, peak descriptors " << Result.PeakDescriptors
            << ", answered beside " << Result.Answered << " of " << Result.Asked
            << ", answered afterwards "
            << (Result.IsAnsweredAfterwards ? "yes" : "no") << ": "
            << (IsWithin ? "within the limits" : "NOT within the limits")
            << std::endl;
  return IsWithin;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Clients that hold the gateway's memory and descriptors");
  gateway_limits Limits{.IdleTimeout = std::chrono::seconds(15)};
  std::string Only;
  std::uint64_t Memory = 260;
  Program.add_option("--only", Only, "cases whose name begins with this");
  Program.add_option("--memory-mb", Memory, "limit of memory, in MiB")
      ->check(CLI::Range(32, 4096));
  Program
      .add_option("--descriptors", Limits.Descriptors, "limit of descriptors")
      ->check(CLI::Range(300, 100'000));
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  Limits.Memory = bw::mebibytes(Memory);
  bool AreAllWithin = true;
  try {
    for (const replay_case &Each : replayCases())
      if (Each.Name.starts_with(Only))
        AreAllWithin = play(Each, Limits) && AreAllWithin;
  } catch (const std::exception &Failure) {
    std::cerr << "the replay cannot go on: " << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return AreAllWithin ? EXIT_SUCCESS : EXIT_FAILURE;
}
