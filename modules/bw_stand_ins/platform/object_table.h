#ifndef BW_STAND_INS_PLATFORM_OBJECT_TABLE_H
#define BW_STAND_INS_PLATFORM_OBJECT_TABLE_H

#include "bw_core/ids/identifiers.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bw {

struct stored_object {
  std::string Value;
  object_version Version;
};

enum class store_outcome { Stored, Conflict, Absent };

/// Objects with versions and conditional updates. A version counts up over all
/// objects, so a deleted and re-created object never repeats one.
class object_table {
public:
  struct write_result {
    store_outcome Outcome;
    /// The version now stored; 0 when absent.
    object_version Version;
  };

  std::optional<stored_object> get(const std::string &Kind,
                                   const std::string &Name) const;

  /// `Expected` of 0 means "only if absent"; nothing means unconditional.
  write_result put(const std::string &Kind, const std::string &Name,
                   std::string Value, std::optional<object_version> Expected);

  write_result remove(const std::string &Kind, const std::string &Name,
                      std::optional<object_version> Expected);

  /// Names and versions of a kind after `After`, in order, at most `Limit`.
  std::vector<std::pair<std::string, object_version>>
  list(const std::string &Kind, const std::string &After,
       std::size_t Limit) const;

private:
  using object_key = std::pair<std::string, std::string>;
  object_version versionOf(const object_key &Key) const;

  std::map<object_key, stored_object> Objects;
  object_version LastVersion;
};

} // namespace bw

#endif
