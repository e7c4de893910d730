#ifndef BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H
#define BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H

#include "bw_gateway/hosts/gateway_host.h"
#include "bw_gateway/messages/gateway_events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bw {

enum class watch_end : std::uint8_t {
  Changed,     ///< A newer configuration was read.
  Unchanged,   ///< The wait timed out.
  Refused,     ///< The newest configuration is not valid.
  HistoryGone, ///< The revision is too old to watch from; read again.
  Unavailable, ///< The store did not respond.
};

struct configuration_watch {
  watch_end End = watch_end::Unavailable;
  /// The revision from which to continue watching.
  store_revision Revision;
  /// Set if the configuration has changed.
  std::shared_ptr<const gateway_configuration> Configuration;
};

/// A change to one entry of the server list.
struct server_change_entry {
  backend_server_id Server;
  /// The new entry; none if the server was removed or its entry is unusable.
  std::optional<listed_server> Now;
};

struct servers_watch {
  watch_end End = watch_end::Unavailable;
  store_revision Revision;
  std::vector<server_change_entry> Changes;
};

/// The complete server list, and the number of calls needed to read it.
struct servers_reading {
  servers_listed List;
  std::uint32_t Calls = 1;
};

/// Hooks through which the followers access the platform's store. All calls
/// block for a bounded time. The defaults behave like an unreachable store.
struct platform_source {
  /// Reads the server list; returns nothing if the store did not respond.
  std::function<std::optional<servers_reading>()> ReadServers = [] {
    return std::nullopt;
  };
  /// Reads the changes after the revision, without waiting.
  std::function<servers_watch(store_revision)> ReadServerChanges =
      [](store_revision) { return servers_watch{}; };
  /// Reads the current configuration.
  std::function<configuration_watch()> ReadConfiguration = [] {
    return configuration_watch{};
  };
  /// Waits for a change after the revision.
  std::function<configuration_watch(store_revision, std::chrono::milliseconds)>
      WatchConfiguration = [](store_revision, std::chrono::milliseconds) {
        return configuration_watch{};
      };
  /// Registers this host or updates its entry. Returns false on failure.
  std::function<bool(const gateway_host &)> AnnounceHost =
      [](const gateway_host &) { return false; };
  /// Reads the host list, which may be a few seconds old; returns nothing if
  /// the store did not respond.
  std::function<std::optional<std::vector<gateway_host>>()> ReadHosts = [] {
    return std::nullopt;
  };
  /// Removes a host that is gone. Returns false on failure.
  std::function<bool(const host_id &)> RemoveHost = [](const host_id &) {
    return false;
  };
  /// Aborts a pending call and makes later ones fail at once. Thread-safe.
  std::function<void()> Cancel = [] {};
};

} // namespace bw

#endif
