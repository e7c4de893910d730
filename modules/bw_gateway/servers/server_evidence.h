#ifndef BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H
#define BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H

#include "bw_core/ids/time.h"

namespace bw {

/// What the outcomes of requests tell of one server, as a hidden Markov model.
/// A *bursty* server fails most requests for about a second now and then, a
/// steady one never does; any server may fail *gray* for several seconds.
/// Without outcomes the present state returns to the usual one, while what
/// kind of server it is stays known.
class server_evidence {
public:
  /// Numbers of good and bad outcomes since the last call; parts of one count
  /// as weaker evidence.
  void add(double Good, double Bad, time_point Now);

  /// Probability that the server fails most requests now, between 0 and 1.
  double failing(time_point Now) const;
  /// Expected share of failures of the next request, between 0 and 1.
  double failureShare(time_point Now) const;

private:
  /// Probabilities; `InBurst` holds for a bursty server, and both it and
  /// `Bursty` for one that does not fail gray.
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
