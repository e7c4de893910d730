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
  Unchanged,   ///< The wait is over.
  HistoryGone, ///< What happened meanwhile is not known; to be read anew.
  Unavailable, ///< The store did not answer.
};

struct configuration_watch {
  watch_end End = watch_end::Unavailable;
  /// Where to go on watching.
  store_revision Revision;
  /// Set when it has changed.
  std::shared_ptr<const gateway_configuration> Configuration;
};

/// A change of the list of servers.
struct server_change_entry {
  backend_server_id Server;
  /// None: the server is gone, or its entry names none to use.
  std::optional<listed_server> Now;
};

struct servers_watch {
  watch_end End = watch_end::Unavailable;
  store_revision Revision;
  std::vector<server_change_entry> Changes;
};

/// A reading of the whole list, and the calls that it took.
struct servers_reading {
  servers_listed List;
  std::uint32_t Calls = 1;
};

/// What the followers need of the platform's store, as hooks. All calls block
/// for a bounded time. The defaults behave as a store that cannot be reached.
struct platform_source {
  /// Nothing when the store did not answer.
  std::function<std::optional<servers_reading>()> ReadServers = [] {
    return std::nullopt;
  };
  /// What has changed after the revision, without waiting.
  std::function<servers_watch(store_revision)> ReadServerChanges =
      [](store_revision) { return servers_watch{}; };
  /// The configuration as it is now.
  std::function<configuration_watch()> ReadConfiguration = [] {
    return configuration_watch{};
  };
  /// Waits for a change after the revision.
  std::function<configuration_watch(store_revision, std::chrono::milliseconds)>
      WatchConfiguration = [](store_revision, std::chrono::milliseconds) {
        return configuration_watch{};
      };
  /// Makes this host known, also when it already is. False: not done.
  std::function<bool(const gateway_host &)> AnnounceHost =
      [](const gateway_host &) { return false; };
  /// Nothing when the store did not answer. May be some seconds old.
  std::function<std::optional<std::vector<gateway_host>>()> ReadHosts = [] {
    return std::nullopt;
  };
  /// Removes a host that is gone. False: not done.
  std::function<bool(const host_id &)> RemoveHost = [](const host_id &) {
    return false;
  };
  /// Ends a call that waits, and lets later ones fail at once. Thread-safe.
  std::function<void()> Cancel = [] {};
};

} // namespace bw

#endif
