#ifndef BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H
#define BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H

#include "bw_core/ids/time.h"

namespace bw {

/// Probability that a server is failing now, from the outcomes of requests: a
/// filter with two states (well, failing) that servers change between at random
/// times. Without outcomes it returns to the usual probability.
class server_evidence {
public:
  /// Numbers of good and bad outcomes since the last call; parts of one count
  /// as weaker evidence.
  void add(double Good, double Bad, time_point Now);

  /// Between 0 and 1.
  double failing(time_point Now) const;
  /// Expected share of failures of the next request, between 0 and 1.
  double failureShare(time_point Now) const;

private:
  /// Probability of the state "failing" at the time below.
  double Failing = UsualFailing;
  time_point At{};

  /// Share of servers that are failing at any time.
  static constexpr double UsualFailing = 0.05;
};

} // namespace bw

#endif
