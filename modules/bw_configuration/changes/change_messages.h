#ifndef BW_CONFIGURATION_CHANGES_CHANGE_MESSAGES_H
#define BW_CONFIGURATION_CHANGES_CHANGE_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/store_position.h"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace bw {

/// Entry of the head's list of recent changes.
struct applied_change {
  change_id Change;
  config_version Version;
  operator_id Applier;
};

/// The head object of the configuration.
struct config_head {
  config_version Version;
  /// Position of the object in the store, for the conditional update.
  object_position Object;
  /// The most recent changes, oldest first, including that of this version.
  std::vector<applied_change> Changes;
};

/// Configuration change requested by an operator.
struct config_change {
  change_id Change;
  operator_id Applier;
  /// The version that the change is based on.
  config_version Expected;
  /// Number of content-addressed chunks to write before the head.
  std::size_t Chunks = 0;
};

enum class store_result {
  Success,     ///< read or written
  Conflict,    ///< the condition of the update was not met
  Lost,        ///< no answer; a write may have taken effect or may still do so
  Unavailable, ///< refused without effect
};

struct read_head {};

/// Write a chunk. Idempotent, since its name is the hash of its content.
struct write_chunk {
  std::size_t Index = 0;
};

/// Update the head if its object is still at `If`.
struct update_head {
  object_position If;
  config_head Head;
};

enum class change_outcome {
  Accepted,   ///< applied as `Version`
  Conflict,   ///< not applied; `Winner` is the latest change of the head
  NotApplied, ///< not applied and never will be; the store is unavailable
  Unknown     ///< possibly applied; submit again with the same change id
};

struct change_result {
  change_outcome Outcome = change_outcome::Unknown;
  config_version Version;
  applied_change Winner;
};

using change_command =
    std::variant<read_head, write_chunk, update_head, change_result>;

} // namespace bw

#endif
