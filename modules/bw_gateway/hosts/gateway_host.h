#ifndef BW_GATEWAY_HOSTS_GATEWAY_HOST_H
#define BW_GATEWAY_HOSTS_GATEWAY_HOST_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <string>

namespace bw {

/// A host of the system, as it makes itself known to the others.
struct gateway_host {
  host_id Host;
  data_centre_id DataCentre;
  std::string Ip;
  /// Takes the reports of other hosts, by UDP.
  std::uint16_t ReportPort = 0;
  /// Hands out configuration and server list to other hosts, by HTTP.
  std::uint16_t ExchangePort = 0;
  /// Part of a processor core that the host has; duties for others go to the
  /// hosts that have most.
  ratio ProcessorShare{1};

  friend bool operator==(const gateway_host &, const gateway_host &) = default;
};

/// Content of a list of servers or hosts, the same on all hosts that have the
/// same list.
using list_digest = strong_number<struct list_digest_tag>;

} // namespace bw

#endif
