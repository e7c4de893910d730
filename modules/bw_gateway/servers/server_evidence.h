#ifndef BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H
#define BW_GATEWAY_SERVERS_SERVER_EVIDENCE_H

#include "bw_core/ids/time.h"

namespace bw {

/// Good and bad outcomes of one server, older ones weighing less. Outcomes of
/// other hosts count like own ones, since a single host sees only a few
/// requests a second over all servers.
class server_evidence {
public:
  void add(double Good, double Bad, time_point Now);

  /// Estimated share of requests that fail, between 0 and 1.
  double failureShare(time_point Now) const;
  /// Weight of the bad outcomes that still count.
  double bad(time_point Now) const { return Bad * decay(Now); }

private:
  double decay(time_point Now) const;

  double Good = 0;
  double Bad = 0;
  time_point At{};
};

} // namespace bw

#endif
