#ifndef BW_DETECTION_EVIDENCE_DETECTION_OPTIONS_H
#define BW_DETECTION_EVIDENCE_DETECTION_OPTIONS_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <functional>

namespace bw {

/// Detection settings of one service. They are shared by its references and
/// detectors, which hold a reference to them, so they must outlive both.
struct detection_options {
  /// Tolerated false ejections per instance and day. Determines the threshold
  /// of the sequential test.
  double FalseEjectionRate = 0.1;
  /// Share of bad requests from which a server must be detected, which is also
  /// the share of bad requests in the model of an unhealthy server. It equals
  /// the share of unhealthy servers that are missed when their severity is
  /// uniformly distributed.
  double MissedDetectionRate = 0.2;
  /// Expected requests per second and kind at one instance. Underestimating it
  /// by some factor raises the false ejections by the same factor.
  double RequestsPerSecond = 100;
  /// Minimum error share assumed of a healthy server, whatever the peers
  /// report.
  ratio MinErrorShare{0.001};

  duration ColdStartGrace = std::chrono::seconds(10);
  /// Weight of evidence collected during the cold start, in [0, 1].
  double ColdStartWeight = 0.25;
  /// Divisor of latencies during the cold start, before they are compared with
  /// those of peers. A cold server that runs at a fifth of its normal speed
  /// fails every comparison, so a lower weight alone would only delay its
  /// ejection.
  std::int64_t ColdStartLatencyFactor = 5;

  /// Time limits for the replies to a path check and to a request for digests.
  /// If a reply is missing, the threshold is doubled.
  duration PathCheckTimeout = std::chrono::milliseconds(500);
  duration ReferenceTimeout = std::chrono::milliseconds(200);
  /// Digests of other instances needed for the reference to be up to date.
  std::uint32_t RequiredFreshPeers = 3;
  /// Share of the threshold at which a path check and current digests are
  /// requested.
  ratio SuspicionShare{0.4};
  /// A request is silent, and its connection suspected, when its age exceeds
  /// this multiple of the 0.999 quantile. At 1, requests to slow servers were
  /// abandoned just before their answers would have counted.
  double SilenceFactor = 2;

  /// A stall of the whole server accounts for the lateness of requests up to
  /// this multiple of the 0.999 quantile. 1 is sufficient where that quantile
  /// exceeds the pauses of a healthy server. At 1, diary-svc, which has pauses
  /// of half a second, had 0.5 false ejections per instance and day.
  std::int64_t PauseFactor = 2;

  duration InitialEjectionTime = std::chrono::seconds(5);
  duration MaxEjectionTime = std::chrono::minutes(5);
  /// The ejection time is halved for each such period without an ejection.
  duration EjectionHalvingPeriod = std::chrono::minutes(10);
  /// Hook: returns the ejection time of the n-th consecutive ejection, counted
  /// from 1. The default doubles from InitialEjectionTime to MaxEjectionTime.
  std::function<duration(const detection_options &, std::uint32_t)>
      EjectionTime = doublingEjectionTime;
  /// Good requests that complete a trial.
  std::uint32_t TrialRequests = 8;

  /// Half-lives of the latency histogram and of the recent class counts.
  duration HistogramHalfLife = std::chrono::seconds(60);
  duration RecentHalfLife = std::chrono::seconds(1);
  /// Age at which a digest is discarded.
  duration DigestExpiry = std::chrono::seconds(60);
  /// Latencies needed before quantiles are used. Until then the only evidence
  /// is errors and latencies above DefaultLatencyLimit.
  double MinimumSamples = 200;
  duration DefaultLatencyLimit = std::chrono::seconds(5);

  static duration doublingEjectionTime(const detection_options &Options,
                                       std::uint32_t Ejections);
};

/// Ejection threshold of the sequential test, in nats.
double ejectionThreshold(const detection_options &Options);

} // namespace bw

#endif
