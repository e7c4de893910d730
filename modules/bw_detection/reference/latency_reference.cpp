#include "bw_detection/reference/latency_reference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace bw;

namespace {

// Shares of the latency classes for a healthy server, which follow from the
// definition of the quantiles. Beyond the 0.999 quantile they follow a Pareto
// tail of exponent 2, which is heavier than that of most services. What the
// peers report is a lower bound.
constexpr std::array<double, 6> HealthyClassShares = {0.9,    0.09,    0.009,
                                                      0.0008, 0.00015, 0.00005};
// Distribution of the bad requests of an unhealthy server over the classes. No
// single fault produces all of them, so each share is kept small enough to
// cover every fault.
constexpr per_class<double> UnhealthyClassShares = {0,    0.05, 0.2,  0.2,
                                                    0.15, 0.1,  0.15, 0.15};
constexpr std::array<double, 3> LimitQuantiles = {0.9, 0.99, 0.999};
constexpr auto HighClass = static_cast<std::size_t>(evidence_class::High);
// Multiples of the 0.999 quantile at which the next classes begin.
constexpr std::array<int, 2> TailFactors = {2, 4};
constexpr duration HistogramDecayInterval = std::chrono::seconds(5);
constexpr duration RecentDecayInterval = std::chrono::milliseconds(100);
// Minimum interval between refreshes while the instance's own requests replace
// those of peers, since a refresh takes a few microseconds.
constexpr duration OwnRefreshInterval = std::chrono::seconds(1);

double decayFactor(duration Elapsed, duration HalfLife) {
  const double HalfLives = std::chrono::duration<double>(Elapsed) /
                           std::chrono::duration<double>(HalfLife);
  return std::exp2(-HalfLives);
}

template <typename Counts> double total(const Counts &Values) {
  double Sum = 0;
  for (const float Value : Values)
    Sum += Value;
  return Sum;
}

// Requests of a latency class or a worse one: where peers are even slower, a
// slow request is no evidence of a fault.
double countFrom(const per_class<float> &Counts, std::size_t Class) {
  if (Class >= HealthyClassShares.size())
    return Counts[Class];
  return std::accumulate(Counts.begin() + Class,
                         Counts.begin() + HealthyClassShares.size(), 0.0);
}

template <typename Counts> void scale(Counts &Values, double Factor) {
  for (float &Value : Values)
    Value = static_cast<float>(Value * Factor);
}

std::optional<duration> quantileOf(const per_latency_band<float> &Counts,
                                   double Share, double MinimumSamples) {
  const double Total = total(Counts);
  if (Total < MinimumSamples)
    return std::nullopt;
  double Seen = 0;
  for (std::size_t Band = 0; Band < LatencyBandCount; ++Band) {
    Seen += Counts[Band];
    if (Seen >= Share * Total)
      return latencyBandEnd(Band);
  }
  return latencyBandEnd(LatencyBandCount - 1);
}

} // namespace

latency_reference::latency_reference(const detection_options &Options,
                                     std::uint64_t Source)
    : Options(Options), Source(Source) {
  for (std::size_t Kind = 0; Kind < MaxKinds; ++Kind)
    refreshKind(Kind);
}

void latency_reference::record(time_point Now, kind_index Kind,
                               duration Latency) {
  decay(Now);
  Own[Kind.value()].Latencies[latencyBand(Latency)] += 1;
}

void latency_reference::recordClass(time_point Now, kind_index Kind,
                                    evidence_class Class) {
  decay(Now);
  Own[Kind.value()].Recent[static_cast<std::size_t>(Class)] += 1;
}

latency_digest latency_reference::digest(time_point Now) {
  decay(Now);
  return {.Source = Source, .Kinds = Own};
}

void latency_reference::merge(time_point Now, const latency_digest &Digest) {
  if (Digest.Source == Source)
    return;
  peer &Entry = entryFor(Digest.Source);
  Entry = {.Source = Digest.Source,
           .Received = Now,
           .Present = true,
           .Kinds = Digest.Kinds};
  removeExpired(Now);
  refresh(Now);
}

std::uint32_t latency_reference::peersSince(time_point Since) const {
  return static_cast<std::uint32_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const peer &Peer) {
        return Peer.Present && Peer.Received >= Since;
      }));
}

std::optional<duration> latency_reference::quantile(kind_index Kind,
                                                    double Share) const {
  return quantileOf(histogram(Kind.value()), Share, Options.MinimumSamples);
}

evidence_class latency_reference::classify(kind_index Kind,
                                           duration Latency) const {
  const auto &Ends = Limits[Kind.value()];
  for (std::size_t Class = 0; Class < Ends.size(); ++Class)
    if (Latency <= Ends[Class])
      return static_cast<evidence_class>(Class);
  return evidence_class::Unbounded;
}

duration latency_reference::limit(kind_index Kind, evidence_class Class) const {
  return Limits[Kind.value()].at(static_cast<std::size_t>(Class));
}

double latency_reference::weight(kind_index Kind, evidence_class Class) const {
  return Weights[Kind.value()][static_cast<std::size_t>(Class)];
}

void latency_reference::decay(time_point Now) {
  decayHistograms(Now);
  decayRecent(Now);
  if (peersSince(time_point::min()) == 0 &&
      Now - Refreshed >= OwnRefreshInterval)
    refresh(Now);
}

void latency_reference::decayHistograms(time_point Now) {
  if (Now - HistogramDecayed < HistogramDecayInterval)
    return;
  const double Factor =
      decayFactor(Now - HistogramDecayed, Options.HistogramHalfLife);
  HistogramDecayed = Now;
  for (kind_digest &Kind : Own)
    scale(Kind.Latencies, Factor);
}

void latency_reference::decayRecent(time_point Now) {
  if (Now - RecentDecayed < RecentDecayInterval)
    return;
  const double Factor =
      decayFactor(Now - RecentDecayed, Options.RecentHalfLife);
  RecentDecayed = Now;
  for (kind_digest &Kind : Own)
    scale(Kind.Recent, Factor);
}

latency_reference::peer &latency_reference::entryFor(std::uint64_t SourceId) {
  const auto Known =
      std::find_if(Peers.begin(), Peers.end(), [&](const peer &Peer) {
        return Peer.Present && Peer.Source == SourceId;
      });
  if (Known != Peers.end())
    return *Known;
  return *std::min_element(Peers.begin(), Peers.end(),
                           [](const peer &Left, const peer &Right) {
                             if (Left.Present != Right.Present)
                               return Right.Present;
                             return Left.Received < Right.Received;
                           });
}

void latency_reference::removeExpired(time_point Now) {
  for (peer &Peer : Peers)
    if (Peer.Present && Now - Peer.Received > Options.DigestExpiry)
      Peer = peer();
}

void latency_reference::refresh(time_point Now) {
  Refreshed = Now;
  for (std::size_t Kind = 0; Kind < MaxKinds; ++Kind)
    refreshKind(Kind);
}

void latency_reference::refreshKind(std::size_t Kind) {
  const per_latency_band<float> Counts = histogram(Kind);
  for (std::size_t Index = 0; Index < LimitQuantiles.size(); ++Index)
    Limits[Kind][Index] =
        quantileOf(Counts, LimitQuantiles[Index], Options.MinimumSamples)
            .value_or(Options.DefaultLatencyLimit);
  for (std::size_t Index = 0; Index < TailFactors.size(); ++Index)
    Limits[Kind][LimitQuantiles.size() + Index] =
        Limits[Kind][LimitQuantiles.size() - 1] * TailFactors[Index];
  const double Shift = slowdown(Kind);
  for (std::size_t Class = 0; Class < EvidenceClassCount; ++Class) {
    const bool IsTail = Class > HighClass && Class < HealthyClassShares.size();
    const double Normal = Class < HealthyClassShares.size()
                              ? HealthyClassShares[Class]
                              : Options.MinErrorShare.value();
    const double Healthy = std::max(IsTail ? Normal * Shift * Shift : Normal,
                                    recentShare(Kind, Class));
    const double UnhealthyShare = Options.MissedDetectionRate;
    Weights[Kind][Class] = static_cast<float>(
        std::log(1 - UnhealthyShare +
                 UnhealthyShare * UnhealthyClassShares[Class] / Healthy));
  }
}

per_latency_band<float> latency_reference::histogram(std::size_t Kind) const {
  if (peersSince(time_point::min()) == 0)
    return Own[Kind].Latencies;
  per_latency_band<float> Sum{};
  for (const peer &Peer : Peers)
    for (std::size_t Band = 0; Band < LatencyBandCount; ++Band)
      Sum[Band] += Peer.Kinds[Kind].Latencies[Band];
  return Sum;
}

// Second highest share among the peers. A single unhealthy peer does not raise
// the reference, and a slowdown of the whole service counts as soon as two
// peers report it.
double latency_reference::recentShare(std::size_t Kind,
                                      std::size_t Class) const {
  double Highest = 0;
  double Second = 0;
  for (const peer &Peer : Peers) {
    const per_class<float> &Recent = Peer.Kinds[Kind].Recent;
    const double Sum = total(Recent);
    const double Share =
        Peer.Present && Sum > 0 ? countFrom(Recent, Class) / Sum : 0;
    Second = std::max(Second, std::min(Share, Highest));
    Highest = std::max(Highest, Share);
  }
  return Second;
}

// Median over the peers of the factor by which their recent requests exceed the
// 0.9 quantile more often than normal. When a whole distribution shifts, its
// tail grows by more than that factor. As few requests fall into the tail, its
// growth is estimated as the square instead of being measured.
double latency_reference::slowdown(std::size_t Kind) const {
  std::array<double, MaxPeers> Shares{};
  std::size_t Count = 0;
  for (const peer &Peer : Peers) {
    const per_class<float> &Recent = Peer.Kinds[Kind].Recent;
    const auto LatencyEnd = Recent.begin() + HealthyClassShares.size();
    const double Sum = std::accumulate(Recent.begin(), LatencyEnd, 0.0);
    if (!Peer.Present || Sum <= 0)
      continue;
    const double Slow =
        std::accumulate(Recent.begin() + HighClass, LatencyEnd, 0.0);
    Shares[Count++] = Slow / Sum;
  }
  if (Count == 0)
    return 1;
  const auto Middle = Shares.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  std::nth_element(Shares.begin(), Middle,
                   Shares.begin() + static_cast<std::ptrdiff_t>(Count));
  return std::max(1.0, *Middle / (1 - HealthyClassShares[0]));
}
