#ifndef BW_DAEMON_SETTINGS_DAEMON_SETTINGS_H
#define BW_DAEMON_SETTINGS_DAEMON_SETTINGS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"
#include "bw_kernel/settings/settings_reader.h"
#include "bw_operations/credentials/credential_check.h"
#include "bw_resources/budget/budget_options.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace bw {

struct listen_settings {
  std::string Address;
  std::uint16_t Port = 0;
};

/// Another host that a starting daemon asks before it knows the host list.
struct seed_settings {
  host_id Host;
  data_centre_id DataCentre;
  listen_settings Peer;
};

/// Settings of one daemon; docs/operators.md describes each key.
struct daemon_settings {
  host_id Host;
  data_centre_id DataCentre;
  region_id Region;
  listen_settings Listen;
  listen_settings Peer;
  std::string PeerKey;
  std::string PlatformUrl;
  std::chrono::milliseconds PlatformTimeout{};
  std::chrono::milliseconds HostListInterval{};
  byte_count MaxBody;
  /// What the process may use; without a value there is no limit.
  process_limits Limits;
  std::vector<seed_settings> Seeds;
  std::vector<stored_credential> Operators;
};

/// \throws settings_error
daemon_settings readDaemonSettings(settings_reader Reader);

} // namespace bw

#endif
