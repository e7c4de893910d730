#ifndef BW_PLATFORM_OBJECTS_OBJECT_STORE_H
#define BW_PLATFORM_OBJECTS_OBJECT_STORE_H

#include "bw_platform/objects/platform_objects.h"

#include <functional>

namespace bw {

/// The object API as hooks, so that its users can be tested with fakes. All
/// calls block. `platform_client::objectStore` gives the real ones; the
/// defaults behave as a service that cannot be reached.
struct object_store {
  std::function<read_answer(const object_key &)> Read = [](const object_key &) {
    return read_answer{};
  };
  /// Creates the object only if it is absent.
  std::function<write_answer(const object_key &, const std::string &)> Create =
      [](const object_key &, const std::string &) {
        return write_answer{.Outcome = write_outcome::Unavailable};
      };
  /// Replaces the object only if it has that version.
  std::function<write_answer(const object_key &, const std::string &,
                             object_position)>
      Update = [](const object_key &, const std::string &, object_position) {
        return write_answer{.Outcome = write_outcome::Unavailable};
      };
  /// Removes the object only if it has that version.
  std::function<write_answer(const object_key &, object_position)> Remove =
      [](const object_key &, object_position) {
        return write_answer{.Outcome = write_outcome::Unavailable};
      };
  /// Objects of a kind whose names follow `After`, at most `Limit`.
  std::function<list_answer(const std::string &Kind, const std::string &After,
                            std::size_t Limit)>
      List = [](const std::string &, const std::string &, std::size_t) {
        return list_answer{};
      };
};

} // namespace bw

#endif
