#include "bw_gateway/servers/service_times.h"

#include <algorithm>

using namespace bw;

namespace {

// Number of answers of a route before its means are used.
constexpr std::uint32_t MinSamples = 8;
constexpr double Smoothing = 0.1;

// Bounds the estimate of the work of a request: it is learned from few answers,
// and a single one must not keep all others away from a server.
constexpr double MaxAmount = 8;

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

/// Returns the statistics once there are enough answers, else null.
template <typename Map, typename Id>
auto findKnown(const Map &Known, const Id &Key) {
  const auto Found = Known.find(Key);
  return Found == Known.end() || Found->second.Samples < MinSamples
             ? nullptr
             : &Found->second;
}

} // namespace

duration service_times::record(const service_id &Service, const route_id &Route,
                               duration Latency, const server_load &Load) {
  const server_load WithRequest{.Slots = Load.Slots,
                                .InFlight = Load.InFlight + 1};
  const double Seconds = std::chrono::duration<double>(Latency).count();
  // A request waits while the ones that exceed the slots are worked off.
  const double Work = Seconds / std::max(1.0, WithRequest.perSlot());
  add(Routes[Route], Seconds, Work);
  add(Services[Service], Seconds, Work);
  return fromSeconds(Work);
}

void service_times::add(statistics &Known, double Latency, double Work) {
  const double Weight = Known.Samples == 0 ? 1 : Smoothing;
  Known.Latency += Weight * (Latency - Known.Latency);
  Known.Work += Weight * (Work - Known.Work);
  ++Known.Samples;
}

std::optional<duration> service_times::latency(const route_id &Route) const {
  const auto *Known = findKnown(Routes, Route);
  return Known ? std::optional(fromSeconds(Known->Latency)) : std::nullopt;
}

std::optional<duration> service_times::work(const route_id &Route) const {
  const auto *Known = findKnown(Routes, Route);
  return Known ? std::optional(fromSeconds(Known->Work)) : std::nullopt;
}

std::optional<duration> service_times::work(const service_id &Service) const {
  const auto *Known = findKnown(Services, Service);
  return Known ? std::optional(fromSeconds(Known->Work)) : std::nullopt;
}

work_amount service_times::amount(const service_id &Service,
                                  const route_id &Route) const {
  const auto *OfRoute = findKnown(Routes, Route);
  const auto *OfService = findKnown(Services, Service);
  if (!OfRoute || !OfService || OfService->Work <= 0)
    return work_amount(1);
  return work_amount(
      std::clamp(OfRoute->Work / OfService->Work, 1 / MaxAmount, MaxAmount));
}
