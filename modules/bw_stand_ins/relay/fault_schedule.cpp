#include "bw_stand_ins/relay/fault_schedule.h"

#include <algorithm>

using namespace bw;

namespace {

constexpr std::uint64_t SegmentSize = 1460;
constexpr std::size_t UnlimitedPiece = 16'384;
constexpr std::uint64_t PiecesPerSecond = 20;

} // namespace

std::size_t fault_schedule::pieceLimit(const direction_faults &Faults) {
  if (Faults.Rate == 0)
    return UnlimitedPiece;
  return std::clamp<std::size_t>(Faults.Rate / PiecesPerSecond, 1,
                                 UnlimitedPiece);
}

fault_schedule::chance
fault_schedule::drawSegments(const direction_faults &Faults, std::size_t Size) {
  chance Result;
  const std::uint64_t Wanted =
      (Position + Size + SegmentSize - 1) / SegmentSize;
  for (; DrawnSegments < Wanted; ++DrawnSegments) {
    // Each segment takes the same number of draws whatever the faults are.
    const double Varied = Random.unit();
    const bool Stalls = Random.chance(Faults.StallProbability);
    const bool Cuts = Random.chance(Faults.CutProbability);
    duration Delay = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::nano>(
            double(Faults.Variation.count()) * Varied));
    if (Stalls)
      Delay += Faults.StallTime;
    Result.Delay = std::max(Result.Delay, Delay);
    if (Cuts && !Result.CutAt)
      Result.CutAt = DrawnSegments * SegmentSize;
  }
  return Result;
}

fault_schedule::verdict fault_schedule::judge(const direction_faults &Faults,
                                              time_point Now,
                                              std::size_t Size) {
  chance Chance = drawSegments(Faults, Size);
  if (Faults.CutAfter && Position + Size >= *Faults.CutAfter)
    Chance.CutAt =
        std::min(*Faults.CutAfter, Chance.CutAt.value_or(*Faults.CutAfter));
  verdict Result{.Due = endDue(Faults, Now + Chance.Delay),
                 .Pass = Size,
                 .Cut = Chance.CutAt.has_value()};
  if (Chance.CutAt)
    Result.Pass = *Chance.CutAt - std::min(Position, *Chance.CutAt);
  Position += Size;
  if (Faults.Rate > 0)
    RateFree = Result.Due + std::chrono::nanoseconds(std::chrono::seconds(1)) *
                                Size / Faults.Rate;
  return Result;
}

time_point fault_schedule::endDue(const direction_faults &Faults,
                                  time_point Now) {
  LastDue = std::max(Now + Faults.Delay, LastDue);
  if (Faults.Rate > 0)
    LastDue = std::max(LastDue, RateFree);
  return LastDue;
}
