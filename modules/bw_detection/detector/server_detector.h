#ifndef BW_DETECTION_DETECTOR_SERVER_DETECTOR_H
#define BW_DETECTION_DETECTOR_SERVER_DETECTOR_H

#include "bw_detection/detector/detection_event.h"
#include "bw_detection/evidence/detection_options.h"
#include "bw_detection/reference/latency_reference.h"

#include <array>
#include <cstdint>

namespace bw {

/// A request between its calls to `started` and `finished`.
struct tracked_request {
  static constexpr std::uint8_t Untracked = 255;

  time_point Started{};
  connection_number Connection;
  kind_index Kind;
  /// The kind on trial that this request counts for, usually its own.
  kind_index TrialFor;
  /// Untracked when more requests are in flight than the detector tracks. Such
  /// a request is classified only when it finishes, not by its age in flight.
  std::uint8_t Index = Untracked;
};

/// Result of a few requests of one kind that the successor sent itself. Bad
/// requests failed or exceeded the 0.99 quantile. Both counts are 0 when the
/// successor did not reply.
struct path_report {
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
};

/// State of an instance for one kind of request.
enum class server_phase : std::uint8_t { Serving, Ejected, Trial };

/// Detects gray failures of one instance from the real requests that its owner
/// sends to it, using a sequential test (CUSUM) of log-likelihood ratios for
/// each kind. An ejection is a recommendation: the floor may require the
/// instance to stay in use.
///
/// Not thread-safe. Has a fixed size and does not allocate. The options and the
/// reference must outlive it. Not copyable, since events refer to its
/// connections.
class server_detector {
public:
  /// ColdStart is true for an instance that has just started, and false for one
  /// taken over from another owner.
  server_detector(latency_reference &Reference, time_point Now, bool ColdStart);
  server_detector(const server_detector &) = delete;
  server_detector &operator=(const server_detector &) = delete;

  /// Called when the request is sent; time spent in the queue is not evidence.
  tracked_request started(time_point Now, kind_index Kind,
                          connection_number Connection);
  /// Called when a request is sent in response to TrialRequested. TrialFor
  /// differs from Kind when requests of the kind on trial are not repeatable.
  tracked_request startedTrial(time_point Now, kind_index Kind,
                               connection_number Connection,
                               kind_index TrialFor);
  detection_events finished(time_point Now, const tracked_request &Request,
                            server_outcome Outcome);
  /// Classifies the requests in flight by their age and ends ejections. Must be
  /// called every 20 to 50 ms while requests are in flight or any kind is not
  /// Serving.
  detection_events tick(time_point Now);
  /// Reports the result of a path check, the answer to PathCheckRequested.
  detection_events pathChecked(time_point Now, kind_index Kind,
                               const path_report &Report);

  server_phase phase(kind_index Kind) const { return kindOf(Kind).Phase; }
  bool anyEjected() const;
  /// Current score in nats, or the score at the time of ejection while not
  /// Serving.
  double score(kind_index Kind) const;
  double threshold() const { return Threshold; }

private:
  static constexpr std::size_t MaxTracked = 8;

  enum class path_state : std::uint8_t {
    NotRequested,
    Requested,
    Unhealthy,
    NoReply,
    Healthy
  };

  struct in_flight {
    time_point Started{};
    connection_number Connection;
    kind_index Kind;
    kind_index TrialFor;
    /// Weight in the counts of its kind, or 0 when it is not counted.
    float Weight = 0;
    evidence_class WorstClass = evidence_class::Normal;
    /// The class that it is counted as.
    evidence_class CountedClass = evidence_class::Normal;
    bool Used = false;
    /// True for the first request on its connection.
    bool OpenedConnection = false;
    bool Unconfirmed = false;
    bool Suspected = false;
  };

  struct kind_state {
    /// Weighted evidence since the score was last at zero.
    per_class<float> Counts{};
    /// The part of Counts that is silence on connections not yet replaced, and
    /// so may be caused by the connection.
    per_class<float> Unconfirmed{};
    time_point WindowEnd{};
    time_point Until{};
    time_point SuspectedAt{};
    time_point ReferenceAskedAt{};
    time_point PathStateAt{};
    time_point LastEjection{};
    float EjectedScore = 0;
    server_phase Phase = server_phase::Serving;
    path_state Path = path_state::NotRequested;
    bool Suspected = false;
    std::uint8_t Ejections = 0;
    std::uint8_t TrialGood = 0;
    std::uint8_t TrialBad = 0;
  };

  /// A period in which requests were in flight and none was answered. All of
  /// these requests share one cause, so the period is counted once.
  struct stall {
    time_point Begin{};
    time_point End{};
    bool Counted = false;
  };

  kind_state &kindOf(kind_index Kind) { return Kinds[Kind.value()]; }
  const kind_state &kindOf(kind_index Kind) const {
    return Kinds[Kind.value()];
  }

  void evaluateFinished(time_point Now, in_flight &Entry,
                        server_outcome Outcome);
  void evaluateAge(time_point Now, in_flight &Entry);
  void evaluateTrial(kind_state &Kind, const in_flight &Entry,
                     evidence_class Class);
  void addEvidence(time_point Now, in_flight &Entry, evidence_class Class,
                   bool Silent);
  void addGood(time_point Now, const in_flight &Entry, evidence_class Class);
  void addBad(time_point Now, in_flight &Entry, evidence_class Class,
              bool Silent);
  void countBad(time_point Now, in_flight &Entry, evidence_class Class,
                bool Silent);
  void raiseClass(in_flight &Entry, evidence_class Class);
  void confirmEvidence(in_flight &Entry);
  void discardUnconfirmed(kind_state &Kind);
  void recordProgress(time_point Now);
  void evaluateStall(time_point Now);
  void suspectConnections(time_point Now, detection_events &Events);
  bool isSilent(time_point Now, const in_flight &Entry) const;
  bool isOnNewConnection(time_point Now, const in_flight &Entry) const;
  duration unexplainedAge(time_point Now, const in_flight &Entry) const;
  time_point stallBegin() const;
  duration correlationWindow(kind_index Kind) const;
  float evidenceWeight(time_point Now) const;

  void decide(time_point Now, kind_index Kind, detection_events &Events);
  void decideServing(time_point Now, kind_index Kind, detection_events &Events);
  void decideTrial(time_point Now, kind_index Kind, detection_events &Events);
  void requestChecks(time_point Now, kind_index Kind, detection_events &Events);
  double effectiveThreshold(time_point Now, const kind_state &Kind) const;
  bool referenceIsFresh(time_point Now, const kind_state &Kind) const;
  void reportPathFault(kind_index Kind, detection_events &Events);
  bool isUnresponsive(time_point Now, kind_index Kind) const;
  bool hasServerErrors(kind_index Kind) const;
  bool isHealthyFromSuccessor(time_point Now, kind_index Kind,
                              const path_report &Report) const;
  duration comparableLatency(const in_flight &Entry, duration Latency) const;
  void eject(time_point Now, kind_index Kind, double Score,
             detection_events &Events);
  double scoreOf(kind_index Kind, const per_class<float> &Counts) const;
  double confirmedScore(kind_index Kind) const;
  double scoreOfOtherKinds(time_point Now, kind_index Kind) const;
  bool recentlyEjected(time_point Now) const;
  void resetTest(kind_state &Kind);

  latency_reference &Reference;
  double Threshold;
  time_point GraceEnd{};
  time_point LastProgress{};
  time_point BusySince{};
  time_point NextStallEvidence{};
  time_point NewConnectionsUntil{};
  stall LastStall{};
  connection_number FirstNewConnection;
  connection_number NewestConnection;
  std::uint8_t InFlightCount = 0;
  std::uint8_t StalledRequests = 0;
  bool StallCounted = false;
  bool SilentOnNewConnection = false;
  std::array<in_flight, MaxTracked> InFlight{};
  per_kind<kind_state> Kinds{};
};

} // namespace bw

#endif
