#ifndef BW_DETECTION_REFERENCE_LATENCY_REFERENCE_H
#define BW_DETECTION_REFERENCE_LATENCY_REFERENCE_H

#include "bw_detection/evidence/detection_options.h"
#include "bw_detection/reference/latency_digest.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bw {

/// Reference distribution of latencies and errors of one service, for each
/// kind, from the digests of one instance's peers. An owner keeps a reference
/// for each instance that it owns and merges the digests of all other instances
/// into it, including its own other instances of the service. While no peer
/// reports, the instance's own requests are used instead.
///
/// Not thread-safe. Has a fixed size below 8 KiB.
class latency_reference {
public:
  /// Source is a stable hash of the instance id. Options must outlive this
  /// object.
  latency_reference(const detection_options &Options, std::uint64_t Source);

  /// Records the latency of a successful request at this instance.
  void record(time_point Now, kind_index Kind, duration Latency);
  /// Records the class of a request at this instance; called once per request.
  void recordClass(time_point Now, kind_index Kind, evidence_class Class);

  /// Returns the digest to send to the owners of other instances.
  latency_digest digest(time_point Now);
  /// Stores the digest of a peer. A digest of this instance itself is ignored.
  void merge(time_point Now, const latency_digest &Digest);
  /// Number of peers whose digest was received at or after the given time.
  std::uint32_t peersSince(time_point Since) const;

  /// Latency that the given share of the peers' requests does not exceed; empty
  /// when there are fewer than MinimumSamples.
  std::optional<duration> quantile(kind_index Kind, double Share) const;

  evidence_class classify(kind_index Kind, duration Latency) const;
  /// Upper latency limit of a latency class below Unbounded.
  duration limit(kind_index Kind, evidence_class Class) const;
  /// Log-likelihood ratio of a class, unhealthy to healthy, in nats.
  double weight(kind_index Kind, evidence_class Class) const;

  const detection_options &options() const { return Options; }

private:
  static constexpr std::size_t MaxPeers = 5;

  struct peer {
    std::uint64_t Source = 0;
    time_point Received{};
    bool Present = false;
    per_kind<kind_digest> Kinds{};
  };

  void decay(time_point Now);
  void decayHistograms(time_point Now);
  void decayRecent(time_point Now);
  peer &entryFor(std::uint64_t SourceId);
  void removeExpired(time_point Now);
  void refresh(time_point Now);
  void refreshKind(std::size_t Kind);
  per_latency_band<float> histogram(std::size_t Kind) const;
  double slowdown(std::size_t Kind) const;
  double recentShare(std::size_t Kind, std::size_t Class) const;

  const detection_options &Options;
  std::uint64_t Source;
  time_point HistogramDecayed{};
  time_point RecentDecayed{};
  time_point Refreshed{};
  per_kind<kind_digest> Own{};
  std::array<peer, MaxPeers> Peers{};
  per_kind<std::array<duration, 5>> Limits{};
  per_kind<per_class<float>> Weights{};
};

} // namespace bw

#endif
