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
// The share rises within a swing of demand of 13 s, and falls more slowly than
// summaries are exchanged, so that it does not follow each of them.
constexpr duration RiseTime = std::chrono::seconds(1);
constexpr duration FallTime = std::chrono::seconds(3);
// A data centre that is not heard for this long counts as full.
constexpr duration MaxAge = std::chrono::milliseconds(1500);

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

bool isHeard(const data_centre_load &Load) {
  return Load.Age && *Load.Age < MaxAge;
}

// The utilisation is that after spilling: without it, the share `Share` of the
// demand would be in flight here, too.
double excess(double Utilisation, double Share, double Limit) {
  const double Demand = Utilisation / std::max(0.01, 1 - Share);
  return Demand <= Limit ? 0 : 1 - Limit / Demand;
}

} // namespace

void spill_policy::update(const data_centre_load &Own,
                          std::span<const data_centre_load> Others,
                          bool IsRefused, time_point Now) {
  const duration Passed = UpdatedAt ? Now - *UpdatedAt : duration();
  UpdatedAt = Now;
  Room.clear();
  double Free = 0;
  bool IsAnyHeard = false;
  for (const data_centre_load &Each : Others) {
    if (!isHeard(Each))
      continue;
    IsAnyHeard = true;
    // What is spilled is in flight there, so a full one has negative room.
    const double FreeThere = FillUpTo * Each.Slots - Each.InFlight;
    Free += FreeThere;
    if (FreeThere > 0)
      Room.emplace(Each.Id, FreeThere);
  }
  // Answers a data centre whose servers are all gone.
  if (Own.Slots <= 0) {
    Share = DownloadShare = 1;
    for (const data_centre_load &Each : Others)
      if (Room.empty() && Each.Slots > 0)
        Room.emplace(Each.Id, Each.Slots);
    return;
  }
  const double Utilisation = Own.InFlight / Own.Slots;
  double Target = excess(Utilisation, Share, SpillAbove);
  double DownloadTarget = excess(Utilisation, DownloadShare, DownloadsAbove);
  // Answers two data centres that are both full: each sends only what the other
  // has room for, and withdraws what has filled it.
  const double Demand = Own.InFlight / std::max(0.01, 1 - Share);
  const double Most =
      Demand > 0 ? std::clamp(Share + Free / Demand, 0.0, 1.0) : 0;
  Target = std::min(Target, Most);
  DownloadTarget = std::min(DownloadTarget, Most);
  // Answers a cut: without summaries the share ends, unless the own servers
  // refuse requests and the others may be reached all the same.
  if (!IsAnyHeard)
    Target = DownloadTarget = IsRefused ? Share : 0;
  moveTo(Share, Target, Passed);
  moveTo(DownloadShare, std::min(DownloadTarget, Share), Passed);
}

void spill_policy::moveTo(double &Current, double Target,
                          duration Passed) const {
  const duration Time = Target > Current ? RiseTime : FallTime;
  Current +=
      (1 - std::exp(-seconds(Passed) / seconds(Time))) * (Target - Current);
}

const data_centre_id *spill_policy::choose(double Fraction) const {
  double Sum = 0;
  for (const auto &[Id, Free] : Room)
    Sum += Free;
  double Left = Fraction * Sum;
  for (const auto &[Id, Free] : Room) {
    Left -= Free;
    if (Left < 0)
      return &Id;
  }
  return Room.empty() ? nullptr : &Room.rbegin()->first;
}
