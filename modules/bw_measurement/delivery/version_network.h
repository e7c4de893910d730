#ifndef BW_MEASUREMENT_DELIVERY_VERSION_NETWORK_H
#define BW_MEASUREMENT_DELIVERY_VERSION_NETWORK_H

#include "bw_configuration/versions/version_tracker.h"
#include "bw_simulation/links/link_model.h"
#include "bw_simulation/time/event_queue.h"

#include <memory>
#include <vector>

namespace bw {

/// Version trackers of all hosts of a deployment, joined by lossy links. The
/// store is away after it has accepted a change, or there: then two watchers
/// per data centre see the new head.
class version_network {
public:
  version_network(link_model Links, bool StoreAway, std::uint64_t Seed);
  version_network(const version_network &) = delete;
  version_network &operator=(const version_network &) = delete;

  /// Accepts one change at a random host and returns the time until the last
  /// host has applied it.
  duration change();

private:
  void carryOut(std::size_t Host, const version_commands &Commands);
  void carryOut(std::size_t Host, const version_notice &Command);
  void carryOut(std::size_t Host, const version_exchange &Command);
  void carryOut(std::size_t Host, const version_fetch &Command);
  void carryOut(std::size_t Host, const store_fetch &Command);
  void send(std::size_t From, std::size_t To, event_queue::action Arrive);
  void apply(std::size_t Host, config_version Version);
  void watch(std::size_t Host, config_version Version);
  void tick(std::size_t Host);

  link_model Links;
  bool StoreAway;
  random_source Random;
  event_queue Queue;
  std::vector<std::unique_ptr<version_tracker>> Trackers;
  config_version Head;
  std::size_t Applied = 0;
};

} // namespace bw

#endif
