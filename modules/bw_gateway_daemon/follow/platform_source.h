#ifndef BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H
#define BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H

#include "bw_gateway/hosts/gateway_host.h"
#include "bw_gateway/messages/gateway_events.h"
#include "bw_gateway_daemon/follow/configuration_refusal.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bw {

enum class watch_end : std::uint8_t {
  Changed,   ///< A configuration was read; it may be one that is refused.
  Unchanged, ///< The wait timed out.
  /// The store cannot show what has changed since the position; read again.
  HistoryGone,
  Incomplete,  ///< More pages follow; the next reading continues.
  Unavailable, ///< The store did not respond.
};

struct configuration_watch {
  watch_end End = watch_end::Unavailable;
  /// The position from which to continue watching; its revision is 0 if the
  /// response contains none.
  store_position Position;
  /// Set if the configuration has changed and is valid.
  std::shared_ptr<const gateway_configuration> Configuration;
  /// Name of the object that holds it and position of its last change.
  std::string Object = {};
  store_position ObjectPosition = {};
  /// Configurations that cannot be put in force, the last few of them.
  std::vector<configuration_refusal> Refusals = {};
  /// Only other objects have changed.
  bool HasOtherChanges = false;
};

/// A change to one entry of the server list.
struct server_change_entry {
  backend_server_id Server;
  /// The new entry; none if the server was removed or its entry is unusable.
  std::optional<listed_server> Now;
};

struct servers_watch {
  watch_end End = watch_end::Unavailable;
  store_position Position;
  /// The last change of each server.
  std::vector<server_change_entry> Changes;
};

/// Tells whether a server is in the list that its reader has.
using known_server_check = std::function<bool(const backend_server_id &)>;

/// Returns a check that is true for all servers.
inline known_server_check anyServer() {
  return [](const backend_server_id &) { return true; };
}

/// The complete server list, and the number of calls needed to read it.
struct servers_reading {
  servers_listed List;
  std::uint32_t Calls = 1;
  /// False if more pages follow than one call reads. The list is empty then,
  /// and the next call continues.
  bool IsComplete = true;
};

/// The host list, and the era of the store that it shows.
struct hosts_reading {
  std::vector<gateway_host> Hosts;
  store_era Era;
};

enum class host_write_end : std::uint8_t {
  Written,
  /// The entry exists, or was changed since the expected position.
  Conflict,
  Unavailable, ///< No usable response; it may have been written.
};

/// The response to a write of a host's entry.
struct host_write {
  host_write_end End = host_write_end::Unavailable;
  store_era Era;
  /// After a conflict: the entry in the store, if it can be read, and the
  /// position of its last change.
  std::optional<gateway_host> Stored = {};
  store_position StoredPosition = {};
};

/// Hooks through which the followers access the platform's store. All calls
/// block for a bounded time. The defaults behave like an unreachable store.
struct platform_source {
  /// Reads the server list; returns nothing if the store did not respond.
  std::function<std::optional<servers_reading>()> ReadServers = [] {
    return std::nullopt;
  };
  /// Reads the changes after the position, without waiting. Leaves out entries
  /// that describe no server, unless the check knows their name.
  std::function<servers_watch(store_position, const known_server_check &)>
      ReadServerChanges = [](store_position, const known_server_check &) {
        return servers_watch{};
      };
  /// Reads the current configuration.
  std::function<configuration_watch()> ReadConfiguration = [] {
    return configuration_watch{};
  };
  /// Waits for a change after the position.
  std::function<configuration_watch(store_position, std::chrono::milliseconds)>
      WatchConfiguration = [](store_position, std::chrono::milliseconds) {
        return configuration_watch{};
      };
  /// Writes the entry of a host that has none.
  std::function<host_write(const gateway_host &)> CreateHost =
      [](const gateway_host &) { return host_write{}; };
  /// Replaces the entry of a host if its last change was at the position.
  std::function<host_write(const gateway_host &, store_position)> ReplaceHost =
      [](const gateway_host &, store_position) { return host_write{}; };
  /// Reads the host list, which may be a few seconds old; returns nothing if
  /// the store did not respond, or if more pages follow, with which the next
  /// call continues.
  std::function<std::optional<hosts_reading>()> ReadHosts = [] {
    return std::nullopt;
  };
  /// Removes the entry of a host that is gone.
  std::function<host_write(const host_id &)> RemoveHost = [](const host_id &) {
    return host_write{};
  };
  /// Aborts a pending call and makes later ones fail at once. Thread-safe.
  std::function<void()> Cancel = [] {};
};

} // namespace bw

#endif
