#ifndef BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H
#define BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_SOURCE_H

#include "bw_gateway/messages/gateway_events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// State of the platform's store; grows with each change there.
using store_revision = strong_number<struct store_revision_tag>;

/// The list of servers as the store had it at a revision.
struct servers_reading {
  store_revision Revision;
  std::vector<listed_server> Servers;
  /// The same as text, for hosts that cannot reach the store.
  std::string Text;
};

struct configuration_reading {
  std::shared_ptr<const gateway_configuration> Configuration;
  /// The same as text, for hosts that cannot reach the store.
  std::string Text;
};

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
  std::optional<configuration_reading> Reading;
};

/// What the followers need of the platform's store, as hooks. All calls block
/// for a bounded time. The defaults behave as a store that cannot be reached.
struct platform_source {
  /// Nothing when the store did not answer.
  std::function<std::optional<servers_reading>()> ReadServers = [] {
    return std::nullopt;
  };
  /// The configuration as it is now.
  std::function<configuration_watch()> ReadConfiguration = [] {
    return configuration_watch{};
  };
  /// Waits for a change after the revision.
  std::function<configuration_watch(store_revision, std::chrono::milliseconds)>
      WatchConfiguration = [](store_revision, std::chrono::milliseconds) {
        return configuration_watch{};
      };
};

} // namespace bw

#endif
