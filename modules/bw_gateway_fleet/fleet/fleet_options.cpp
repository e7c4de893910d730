#include "bw_gateway_fleet/fleet/fleet_options.h"

#include "bw_core/random/random_source.h"

#include <array>

using namespace bw;
using namespace std::chrono_literals;

namespace {

using kind = fleet_fault::kind;

// Faults as they occur on the users' platform, with usual sizes.
constexpr std::array<fleet_fault, 8> UsualFaults = {{
    {.Kind = kind::Gray, .Length = 6500ms, .Share = 0.14, .Strength = 0.45},
    // All requests fail while the server's status check passes.
    {.Kind = kind::Gray, .Length = 6500ms, .Share = 0.1, .Strength = 1},
    // Few answers are lost or spoiled, at many servers.
    {.Kind = kind::Gray, .Length = 5500ms, .Share = 0.5, .Strength = 0.05},
    {.Kind = kind::Gray, .Length = 5s, .Share = 0.8, .Strength = 0.25},
    {.Kind = kind::Slow, .Length = 6500ms, .Share = 0.16, .Strength = 5},
    {.Kind = kind::Crash, .Share = 0.14},
    {.Kind = kind::Start, .Share = 0.25},
    {.Kind = kind::HostRestart, .Share = 0.16},
}};

constexpr std::uint64_t MinFaults = 4;
constexpr std::uint64_t MaxFaults = 8;

} // namespace

fleet_options bw::smallService() {
  fleet_options Result;
  Result.Servers = 30;
  Result.RequestsPerSecond = 45;
  Result.SubmissionShare = 0;
  Result.WorkSeconds = 0.13;
  return Result;
}

fleet_options bw::withDrawnFaults(fleet_options Options, std::uint64_t Seed) {
  random_source Random(Seed);
  const std::uint64_t Count =
      MinFaults + Random.below(MaxFaults - MinFaults + 1);
  for (std::uint64_t Drawn = 0; Drawn < Count; ++Drawn) {
    fleet_fault Fault = UsualFaults[Random.below(UsualFaults.size())];
    Fault.At = duration(static_cast<std::int64_t>(
        Random.unit() * double(Options.Length.count()) / 2));
    Options.Faults.push_back(Fault);
  }
  return Options;
}
