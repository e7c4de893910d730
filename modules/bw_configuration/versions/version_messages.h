#ifndef BW_CONFIGURATION_VERSIONS_VERSION_MESSAGES_H
#define BW_CONFIGURATION_VERSIONS_VERSION_MESSAGES_H

#include "bw_core/ids/identifiers.h"

#include <variant>
#include <vector>

namespace bw {

/// A live host, as reported by the membership view.
struct version_peer {
  host_id Host;
  data_centre_id DataCentre;
};

/// Notifies a host of a version, about 40 bytes.
struct version_notice {
  host_id To;
  config_version Version;
};

/// Anti-entropy exchange: each side learns the version of the other.
struct version_exchange {
  host_id To;
  config_version Version;
  bool WantsReply = false;
};

/// Fetch this version or a later one from a peer that has it.
struct version_fetch {
  host_id From;
  config_version Version;
};

/// Read the head and the missing chunks from the store.
struct store_fetch {
  config_version Version;
};

using version_command =
    std::variant<version_notice, version_exchange, version_fetch, store_fetch>;
using version_commands = std::vector<version_command>;

} // namespace bw

#endif
