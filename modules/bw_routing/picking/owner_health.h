#ifndef BW_ROUTING_PICKING_OWNER_HEALTH_H
#define BW_ROUTING_PICKING_OWNER_HEALTH_H

#include "bw_core/ids/time.h"

#include <cstdint>
#include <optional>

namespace bw {

/// Result of forwarding a request to an owner.
enum class owner_outcome {
  Answered, ///< The owner answered, whatever the backend server's result.
  Refused,  ///< The owner itself refused, for example while stopping.
  TimedOut, ///< No answer within the entry host's time-out.
  Failed,   ///< The connection could not be made or was lost.
};

struct owner_health_options {
  /// Failure score at which the circuit opens.
  double OpenThreshold = 3;
  double RefusedWeight = 1.5;
  double TimedOutWeight = 1.5;
  double FailedWeight = 1.5;
  /// Low, since about one answer in a hundred is slow in normal operation.
  double SlowWeight = 0.5;
  /// Factor that a good answer applies to the failure score.
  double GoodAnswerDecay = 0.5;
  /// An answer is slow if its overhead exceeds both this multiple of the mean
  /// overhead of all owners and `SlowFloor`.
  double SlowFactor = 4;
  duration SlowFloor = std::chrono::milliseconds(20);
  duration InitialOpenTime = std::chrono::seconds(1);
  duration MaxOpenTime = std::chrono::seconds(60);
  /// Good answers in the half-open state that close the circuit. A failure
  /// opens it again.
  std::uint32_t HalfOpenSuccesses = 5;
  /// The next open time is halved for each of these periods that passes
  /// without reopening.
  duration OpenTimeHalfLife = std::chrono::seconds(60);
  /// After this time a probe without an answer no longer blocks the next one.
  duration ProbeTimeout = std::chrono::seconds(5);
};

/// Circuit breaker of an entry host for one owner. Failures and slow answers
/// add to a score; at the threshold the circuit opens and the owner gets no
/// requests. The open time doubles with each repetition. Afterwards the circuit
/// is half-open: one request at a time probes the owner, and a single failure
/// opens the circuit again.
class owner_health {
public:
  /// True if a request may be sent to this owner now.
  bool allowsRequest(time_point Now, const owner_health_options &Options) const;

  /// To be called for each request sent to this owner.
  void requestSent(time_point Now);

  /// `Slow` applies to `Answered` only. Outcomes of requests that were started
  /// before the last open time ended are ignored, so that one outage does not
  /// count again as its requests time out one by one.
  void recordOutcome(owner_outcome Outcome, bool Slow, time_point Started,
                     time_point Now, const owner_health_options &Options);

  bool isOpen(time_point Now) const { return Now < OpenUntil; }
  time_point openUntil() const { return OpenUntil; }

private:
  void recordSuccess(const owner_health_options &Options);
  void recordFailure(double Weight, time_point Now,
                     const owner_health_options &Options);
  void open(time_point Now, const owner_health_options &Options);

  float FailureScore = 0;
  std::uint32_t SuccessesToClose = 0;
  duration NextOpenTime{0};
  time_point OpenUntil{};
  std::optional<time_point> ProbeSentAt;
};

} // namespace bw

#endif
