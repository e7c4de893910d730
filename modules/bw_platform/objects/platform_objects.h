#ifndef BW_PLATFORM_OBJECTS_PLATFORM_OBJECTS_H
#define BW_PLATFORM_OBJECTS_PLATFORM_OBJECTS_H

#include "bw_core/errors/error.h"
#include "bw_core/ids/store_position.h"

#include <string>
#include <vector>

namespace bw {

/// Name of an object in the platform's service: a kind and a name, each of 1
/// to 200 characters of [A-Za-z0-9._-].
struct object_key {
  std::string Kind;
  std::string Name;

  friend auto operator<=>(const object_key &, const object_key &) = default;
};

/// A key that the object API cannot express.
class object_key_error : public error {
public:
  object_key_error();
  std::string_view code() const override { return "object_key_invalid"; }
};

bool isObjectName(std::string_view Text);

struct platform_object {
  std::string Value;
  object_position Position;
};

enum class write_outcome {
  Stored, ///< It took effect.
  /// No effect: another version, one of an earlier era, or it exists already.
  VersionConflict,
  Absent,      ///< No effect: there is no such object.
  Refused,     ///< No effect: the service does not accept the call.
  Unavailable, ///< No effect: the call was certainly not sent.
  AnswerLost,  ///< It may have taken effect.
};

struct write_answer {
  write_outcome Outcome = write_outcome::AnswerLost;
  /// The version now stored, where the service named it; else 0.
  object_position Position;
};

enum class read_outcome {
  Found,
  Absent,
  /// No usable answer came.
  Unavailable,
};

struct read_answer {
  read_outcome Outcome = read_outcome::Unavailable;
  platform_object Object;
};

struct listed_object {
  std::string Name;
  object_position Position;
};

struct list_answer {
  read_outcome Outcome = read_outcome::Unavailable;
  /// In the order of names.
  std::vector<listed_object> Objects;
};

enum class watch_outcome {
  Changed,
  /// Nothing changed until the time-out.
  Unchanged,
  /// The service has come back from an older copy of itself, so the object may
  /// have changed; watch from the start.
  Restored,
  Unavailable,
};

struct watch_answer {
  watch_outcome Outcome = watch_outcome::Unavailable;
  platform_object Object;
};

} // namespace bw

#endif
