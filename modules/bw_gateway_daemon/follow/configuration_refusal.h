#ifndef BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_REFUSAL_H
#define BW_GATEWAY_DAEMON_FOLLOW_CONFIGURATION_REFUSAL_H

#include "bw_gateway/messages/gateway_events.h"

#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace bw {

/// Why a configuration from the store is not put in force.
struct configuration_refusal {
  /// Name of the object.
  std::string Object;
  /// Position of the object's last change; its revision is 0 if it is not
  /// known.
  store_position Position;
  std::optional<config_version> Version = {};
  /// Path of the field, such as `listeners[0].host`; empty for the whole text.
  std::string Field;
  /// Never contains a key.
  std::string Reason;
};

/// Reports refused configurations: in the log and to a hook, once for each
/// revision, however often it is read. Not thread-safe.
class refusal_reporter {
public:
  explicit refusal_reporter(
      std::function<void(const configuration_refusal &)> OnRefused)
      : OnRefused(std::move(OnRefused)) {}

  void report(const configuration_refusal &Refusal);

  /// Reports a valid object whose version is not above that of an earlier
  /// position. Older positions and repeated readings are not reported, nor is
  /// the first object of an era: a copy of the store may hold an older version.
  void objectRead(const std::string &Object, const store_position &Position,
                  config_version Version);

private:
  using refusal_key = std::tuple<std::string, store_era, store_revision,
                                 std::string, std::string>;

  std::function<void(const configuration_refusal &)> OnRefused;
  std::optional<refusal_key> Last;
  /// Latest position of a valid object and the highest version of that era.
  std::optional<std::pair<store_position, config_version>> LastValid;
};

} // namespace bw

#endif
