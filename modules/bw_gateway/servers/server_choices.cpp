#include "bw_gateway/servers/server_pool.h"

#include <algorithm>
#include <limits>
#include <memory>

using namespace bw;

namespace {

// All weights are in units of the service time of one request.

// Servers slow down slightly as their slots fill up.
constexpr double FullSlotsWeight = 0.4;
// A cold server takes about twice as long.
constexpr double ColdWeight = 1;
// Traffic between data centres is costly. Its round trip of 8 ms is small
// compared with a service time of 100 ms or more.
constexpr double RemoteWeight = 0.25;
// Added for responses that are large. They leave when they would otherwise wait
// for as long as they take.
constexpr double RemoteDownloadWeight = 1;
// A failed request costs another attempt, or is lost if it cannot be repeated.
constexpr double FailureWeight = 2.5;
constexpr double LostRequestWeight = 16;
// Half of the failure share of a server without recent outcomes. Smaller shares
// count as much: a server that has just answered would otherwise be preferred
// to equal ones, and so get the next requests as well. With all of it, in an
// overload, hosts would no longer return to servers that have just finished a
// request, and 0.05 fewer requests were served.
constexpr double MinFailureShare = 0.02;
// Keeps hosts with the same view from all choosing the same server.
constexpr double RandomWeight = 0.2;

double expectedDelay(const server_candidate &Candidate) {
  const double Slots = Candidate.Slots;
  const double Used = Candidate.Work / Slots;
  double Delay = 1 + FullSlotsWeight * std::min(Used, 1.0);
  if (Candidate.Work >= Slots)
    Delay += (Candidate.Work + 1 - Slots) / Slots;
  Delay *= Candidate.Slowness;
  if (Candidate.IsCold)
    Delay += ColdWeight;
  if (Candidate.IsRemote)
    Delay += RemoteWeight;
  if (Candidate.IsRemoteDownload)
    Delay += RemoteDownloadWeight;
  return Delay +
         (Candidate.IsFinalAttempt ? LostRequestWeight : FailureWeight) *
             std::max(Candidate.FailureShare, MinFailureShare);
}

} // namespace

std::size_t
bw::chooseByExpectedDelay(std::span<const server_candidate> Candidates,
                          random_source &Random) {
  std::size_t Best = 0;
  double BestCost = std::numeric_limits<double>::infinity();
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position) {
    const double Cost =
        expectedDelay(Candidates[Position]) + RandomWeight * Random.unit();
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Position;
    }
  }
  return Best;
}

std::size_t
bw::chooseLessLoadedOfTwo(std::span<const server_candidate> Candidates,
                          random_source &Random) {
  const std::size_t First = Random.below(Candidates.size());
  const std::size_t Second = Random.below(Candidates.size());
  return Candidates[Second].InFlight < Candidates[First].InFlight ? Second
                                                                  : First;
}

server_choice bw::makeRoundRobinChoice() {
  return [Turn = std::size_t(0)](std::span<const server_candidate> Candidates,
                                 random_source &) mutable {
    return Turn++ % Candidates.size();
  };
}
