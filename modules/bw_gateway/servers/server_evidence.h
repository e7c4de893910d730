#ifndef BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H
#define BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H

#include "bw_core/ids/time.h"

namespace bw {

/// Estimates the health of one server from the outcomes of its requests, with a
/// hidden Markov model. A *bursty* server occasionally fails most requests for
/// about a second, a steady one does not. Any server may have a *gray failure*,
/// failing part of its requests for several seconds. Without outcomes, the
/// probabilities of a burst and of a gray failure soon return to their priors,
/// and that of being bursty much more slowly.
class server_evidence {
public:
  /// Updates the estimate with the numbers of good and bad outcomes since the
  /// last call. A fraction counts as weaker evidence.
  void add(double Good, double Bad, time_point Now);

  /// Returns the probability that the server is in a burst or gray failure.
  double failingProbability(time_point Now) const;
  /// Returns the probability that the next request fails.
  double failureShare(time_point Now) const;
  /// Returns when the last outcome was added; the epoch if there is none.
  time_point updatedAt() const { return At; }

private:
  /// Probabilities, initially the priors. `Bursty` is conditional on the server
  /// having no gray failure, `InBurst` also on it being bursty.
  struct belief {
    double Bursty = 0.3;
    double InBurst = 0.08;
    double Gray = 0.02;
  };

  belief beliefAt(time_point Now) const;

  belief Known;
  time_point At{};
};

} // namespace bw

#endif
