#ifndef BW_CONFIGURATION_STARTUP_STARTUP_GATE_H
#define BW_CONFIGURATION_STARTUP_STARTUP_GATE_H

#include "bw_core/ids/identifiers.h"

#include <map>
#include <set>
#include <vector>

namespace bw {

enum class startup_wait {
  None,          ///< ready
  Store,         ///< the store has not answered and may be available
  Peers,         ///< no majority of the own data centre has answered
  Configuration, ///< the version is known but not applied yet
};

/// Decides when a starting host may become ready: it must have applied a
/// version that is not older than any that was in force in its data centre. The
/// host then stays ready. Not thread-safe.
class startup_gate {
public:
  explicit startup_gate(host_id Self) : Self(std::move(Self)) {}

  /// The store answered with the version of its head, which is sufficient to
  /// know the version to reach.
  void storeAnswered(config_version Version);

  /// The store did not answer. It may still answer later.
  void storeUnavailable() { StoreFailed = true; }

  /// The hosts of the own data centre, from settings and the host list. This
  /// host is ignored.
  void setListed(const std::vector<host_id> &Hosts);

  /// A host of any data centre reported its version. Answers of hosts that are
  /// not ready are ignored, since these hosts do not know the version in force.
  void peerAnswered(const host_id &Peer, bool IsReady, config_version Version);

  /// This host has applied the given version.
  void applied(config_version Version);

  bool isReady() const { return Ready; }
  startup_wait waitsFor() const;

  /// The version to reach; 0 while none is known.
  config_version target() const { return Target; }

private:
  bool isTargetKnown() const;
  bool majorityAnswered() const;
  void updateReadiness();

  host_id Self;
  bool StoreFailed = false;
  bool StoreAnswered = false;
  bool Ready = false;
  std::set<host_id> Listed;
  std::set<host_id> Answered;
  config_version Target;
  config_version Applied;
};

} // namespace bw

#endif
