#ifndef BW_OPERATIONS_CONFIGURATION_CONFIGURATION_STORE_H
#define BW_OPERATIONS_CONFIGURATION_CONFIGURATION_STORE_H

#include "bw_operations/configuration/chunk_store.h"
#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/errors/field_fault.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// One change that an operator asks for.
struct change_order {
  schema::configuration Declared;
  config_version Expected;
  change_id Change;
  operator_id Applier;
  bool Prune = false;
};

enum class change_outcome {
  Accepted,
  /// Accepted by an earlier call with the same change id.
  AcceptedBefore,
  /// The declarations are in force already; nothing was written.
  Unchanged,
  Conflict,    ///< Nothing was changed; another change won.
  Invalid,     ///< Nothing was changed.
  Unavailable, ///< Nothing was changed.
  Unknown,     ///< It may have been accepted; ask by change id.
};

struct change_result {
  change_outcome Outcome = change_outcome::Unknown;
  /// Accepted: the change itself. Unchanged: the version in force. Conflict:
  /// the winner.
  schema::applied_change Change;
  /// Only with `Invalid`.
  std::vector<field_fault> Faults;
};

/// Number of changes that the head remembers.
inline constexpr int RememberedChanges = 64;

struct configuration_store_options {
  object_store Store;
  /// Milliseconds since the epoch.
  std::function<std::uint64_t()> WallClock = currentMilliseconds;
  /// The newest version that is known to be in force at some host. A store that
  /// has come back from an older copy may have lost it.
  std::function<config_version()> NewestKnown = [] { return config_version(); };
  /// Called after this host has accepted a change.
  std::function<void(const schema::applied_change &)> OnAccepted =
      [](const schema::applied_change &) {};

  static std::uint64_t currentMilliseconds();
};

/// The configuration in the platform's service. A change is one conditional
/// update of the head, after its chunks have been written; hence it takes
/// effect as a whole or not at all. Its version is above all that are known,
/// also those that the service has lost. Blocks; keeps no state of its own, so
/// calls may come from several threads.
class configuration_store {
public:
  explicit configuration_store(configuration_store_options Options);
  configuration_store(const configuration_store &) = delete;
  configuration_store &operator=(const configuration_store &) = delete;

  /// The head; nothing when no configuration was ever stored.
  /// \throws platform_unavailable_error, stored_object_error
  std::optional<schema::configuration_head> readHead() const;

  /// The whole configuration, of version 0 when none was ever stored.
  /// \throws platform_unavailable_error, stored_object_error, chunk_error
  schema::configuration read() const;

  /// The accepted change of that id, if it is among those remembered.
  /// \throws platform_unavailable_error, stored_object_error
  std::optional<schema::applied_change>
  findChange(const change_id &Change) const;

  /// \throws stored_object_error, chunk_error; nothing was changed then
  change_result apply(const change_order &Order) const;

private:
  struct stored_state;
  struct head_write;

  std::optional<stored_state> tryReadState() const;
  stored_state readState() const;
  /// Nothing if the service has come back from an older copy meanwhile, and the
  /// change had no effect.
  std::optional<change_result> applyTo(const stored_state &State,
                                       const change_order &Order) const;
  std::optional<change_result>
  store(const stored_state &State, const schema::configuration &Next,
        const schema::applied_change &Change) const;
  head_write writeHead(const stored_state &State,
                       const schema::configuration_head &Next) const;
  std::optional<head_write> settle(const stored_state &State,
                                   const schema::configuration_head &Next,
                                   bool MayHaveTakenEffect) const;
  /// Returns false if a chunk could not be written.
  bool putAll(const schema::configuration &Next) const;

  configuration_store_options Options;
};

} // namespace bw

#endif
