#ifndef BW_GATEWAY_SERVERS_RESTORED_LIST_FILTER_H
#define BW_GATEWAY_SERVERS_RESTORED_LIST_FILTER_H

#include "bw_gateway/messages/gateway_events.h"

#include <optional>
#include <unordered_map>

namespace bw {

struct restored_list_options {
  /// Interval at which servers write their entries.
  duration HeartbeatInterval = std::chrono::milliseconds(1500);
};

/// Finds the entries of a restored list that are older than what is known of
/// their servers. Not thread-safe.
class restored_list_filter {
public:
  explicit restored_list_filter(restored_list_options Options)
      : Options(Options) {}

  /// Records that the first list of a new era is applied.
  void recordRestore(time_point Now);
  /// Records that a server was removed from the list.
  void recordRemoval(const listed_server &Server, time_point Now);
  /// Records that a server was added to the list, or has returned to it.
  void recordListing(const listed_server &Server);

  /// True while entries may be older than what was known before the restore.
  bool isActive(time_point Now) const;
  /// True if the entry is of a lifetime that had ended before the restore.
  bool isOutdated(const listed_server &Entry, time_point Now) const;

private:
  struct removed_server {
    server_start Start;
    time_point At{};
  };

  void forgetOld(time_point Now);

  restored_list_options Options;
  std::optional<time_point> RestoredAt;
  std::unordered_map<backend_server_id, removed_server> Removed;
};

} // namespace bw

#endif
