#ifndef BW_GATEWAY_HOSTS_GATEWAY_HOST_H
#define BW_GATEWAY_HOSTS_GATEWAY_HOST_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <string>

namespace bw {

/// A host of the system, as it is registered with the platform.
struct gateway_host {
  host_id Host;
  data_centre_id DataCentre;
  std::string Ip;
  /// UDP port that receives the reports of other hosts.
  std::uint16_t ReportPort = 0;
  /// HTTP port that serves the configuration and the server list to other
  /// hosts.
  std::uint16_t ExchangePort = 0;
  /// Processor cores available to the host, possibly a fraction of one. The
  /// hosts with the largest share become aggregators.
  ratio ProcessorShare{1};

  friend bool operator==(const gateway_host &, const gateway_host &) = default;
};

/// Digest of the content of a server list or host list. Hosts with the same
/// list have the same digest.
using list_digest = strong_number<struct list_digest_tag>;

} // namespace bw

#endif
