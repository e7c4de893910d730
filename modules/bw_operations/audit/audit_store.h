#ifndef BW_OPERATIONS_AUDIT_AUDIT_STORE_H
#define BW_OPERATIONS_AUDIT_AUDIT_STORE_H

#include "bw_core/ids/units.h"
#include "bw_platform/objects/object_store.h"
#include "bw_schema/bramleywinch.pb.h"

#include <string>
#include <vector>

namespace bw {

enum class audit_write_outcome {
  Written,
  /// Not written, or nobody can tell. Write the same segment again: it takes
  /// effect once.
  Unconfirmed,
  /// Another segment has that name; use the next number.
  NameTaken,
};

/// Segments of the audit log.
struct audit_page {
  std::vector<schema::audit_segment> Segments;
  /// Names of objects that hold no segment although they are named like one.
  std::vector<std::string> Malformed = {};
  /// Name to go on after; empty at the end.
  std::string Next;
};

/// The audit log in the platform's service: segments that are created once
/// and never changed. Blocks; keeps no state.
class audit_store {
public:
  explicit audit_store(object_store Store) : Store(std::move(Store)) {}

  /// Name of a segment: ordered by the time of its first entry.
  static std::string nameOf(const schema::audit_segment &Segment);

  audit_write_outcome write(const schema::audit_segment &Segment) const;

  /// Values of segments that one page holds, but for the last one.
  static constexpr byte_count PageSize = mebibytes(4);

  /// Segments after a name, at most `Limit` objects and about `PageSize`.
  /// \throws platform_unavailable_error
  audit_page read(const std::string &After, std::size_t Limit) const;

private:
  object_store Store;
};

} // namespace bw

#endif
