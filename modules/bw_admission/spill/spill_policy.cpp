#include "bw_admission/spill/spill_policy.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Utilisation of the own slots above which requests leave. Below it, queues are
// short enough for the target latency, and traffic between data centres costs
// money. Downloads leave only when no slot is free.
constexpr double SpillAbove = 0.8;
constexpr double DownloadsAbove = 1;
// Others are filled up to this utilisation. The gap to `SpillAbove` keeps two
// data centres from sending each other the same requests.
constexpr double FillUpTo = 0.7;
// What exceeds this is a queue, whose length says little of the demand.
constexpr double MaxUtilisation = 1.5;
// The share rises within a swing of demand of 13 s, and falls more slowly than
// summaries are exchanged, so that it does not follow each of them.
constexpr duration RiseTime = std::chrono::seconds(1);
constexpr duration FallTime = std::chrono::seconds(3);
// A data centre that is not heard for this long counts as full.
constexpr duration MaxAge = std::chrono::milliseconds(1500);

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// The utilisation is that after spilling: without it, the share `Share` of the
// demand would be in flight here, too.
double excess(double Utilisation, double Share, double Limit) {
  const double Demand = Utilisation / std::max(0.01, 1 - Share);
  return Demand <= Limit ? 0 : 1 - Limit / Demand;
}

} // namespace

bool spill_policy::isHeard(const data_centre_load &Load) {
  return Load.Age && *Load.Age < MaxAge;
}

void spill_policy::update(const data_centre_load &Own,
                          std::span<const data_centre_load> Others,
                          bool IsRefused, time_point Now) {
  const duration Passed = UpdatedAt ? Now - *UpdatedAt : duration();
  UpdatedAt = Now;
  // Answers a data centre whose servers are all gone.
  if (Own.Slots <= 0)
    return leave(Others);
  const double Utilisation = std::min(MaxUtilisation, Own.InFlight / Own.Slots);
  const double Demand = Utilisation * Own.Slots / std::max(0.01, 1 - Share);
  Room.clear();
  double Free = 0;
  bool IsAnyHeard = false;
  for (const data_centre_load &Each : Others) {
    if (!isHeard(Each))
      continue;
    IsAnyHeard = true;
    // What was spilled is in flight there. Answers two data centres that are
    // both full: each sends only what the other has room for, and withdraws
    // what has filled it.
    const auto Known = Shares.find(Each.Id);
    const double Sent = Known == Shares.end() ? 0 : Known->second * Demand;
    const double Most =
        std::max(0.0, Sent + FillUpTo * Each.Slots - Each.InFlight);
    Room.emplace(Each.Id, Most);
    Free += Most;
  }
  // Answers a cut: without summaries no request leaves, unless the own servers
  // refuse requests and the others may be reached all the same.
  if (!IsAnyHeard) {
    Shares.clear();
    Share = IsRefused ? Share : 0;
    DownloadShare = std::min(DownloadShare, Share);
    return;
  }
  const double Most = Demand > 0 ? std::min(1.0, Free / Demand) : 0;
  const double Target = std::min(Most, excess(Utilisation, Share, SpillAbove));
  const double DownloadTarget =
      std::min(Most, excess(Utilisation, DownloadShare, DownloadsAbove));
  std::erase_if(Shares,
                [&](const auto &Each) { return !Room.contains(Each.first); });
  Share = 0;
  for (const auto &[Id, Each] : Room) {
    double &Part = Shares[Id];
    moveTo(Part, Free > 0 ? Target * Each / Free : 0, Passed);
    Share += Part;
  }
  moveTo(DownloadShare, DownloadTarget, Passed);
  DownloadShare = std::min(DownloadShare, Share);
}

void spill_policy::leave(std::span<const data_centre_load> Others) {
  Shares.clear();
  Room.clear();
  Share = DownloadShare = 1;
  for (const data_centre_load &Each : Others)
    if (isHeard(Each) && FillUpTo * Each.Slots > Each.InFlight)
      Room.emplace(Each.Id, FillUpTo * Each.Slots - Each.InFlight);
  if (!Room.empty())
    return;
  for (const data_centre_load &Each : Others)
    if (isHeard(Each) && Each.Slots > 0)
      Room.emplace(Each.Id, Each.Slots);
}

void spill_policy::moveTo(double &Current, double Target,
                          duration Passed) const {
  const duration Time = Target > Current ? RiseTime : FallTime;
  Current +=
      (1 - std::exp(-seconds(Passed) / seconds(Time))) * (Target - Current);
}

const data_centre_id *spill_policy::choose(double Fraction) const {
  const auto SumOf = [](const std::map<data_centre_id, double> &Parts) {
    double Sum = 0;
    for (const auto &[Id, Part] : Parts)
      Sum += Part;
    return Sum;
  };
  const auto &Parts = SumOf(Shares) > 0 ? Shares : Room;
  double Left = Fraction * SumOf(Parts);
  for (const auto &[Id, Part] : Parts) {
    Left -= Part;
    if (Left < 0)
      return &Id;
  }
  return nullptr;
}
