#ifndef BW_PLATFORM_OBJECTS_MEMORY_OBJECT_STORE_H
#define BW_PLATFORM_OBJECTS_MEMORY_OBJECT_STORE_H

#include "bw_platform/objects/object_store.h"

#include <functional>
#include <map>

namespace bw {

/// How a call on a `memory_object_store` fails.
enum class store_fault {
  None,
  NotSent,        ///< No effect, and the caller knows it.
  LostBefore,     ///< No effect, but the answer is lost.
  LostAfterWrite, ///< It takes effect, but the answer is lost.
};

enum class store_call { Read, Create, Update, Remove, List };

struct memory_object_store_options {
  /// Asked before each call. It may itself call the store, as a racing writer
  /// would; it is not asked again meanwhile.
  std::function<store_fault(store_call, const object_key &)> OnCall =
      [](store_call, const object_key &) { return store_fault::None; };
};

/// The object API in memory, with faults on demand, to try its users without
/// a network. Can return to an earlier copy of itself. For one thread.
class memory_object_store {
public:
  explicit memory_object_store(memory_object_store_options Options = {})
      : Options(std::move(Options)) {}
  memory_object_store(const memory_object_store &) = delete;
  memory_object_store &operator=(const memory_object_store &) = delete;

  /// The calls as hooks. They refer to this object.
  object_store hooks();

  void
  setOnCall(std::function<store_fault(store_call, const object_key &)> Hook) {
    Options.OnCall = std::move(Hook);
  }

  const std::map<object_key, platform_object> &objects() const {
    return Objects;
  }
  /// Keeps a copy of all objects.
  void takeCopy();
  /// Returns to the copy, in a new era; versions are given out again.
  void restoreCopy();
  /// Calls by kind.
  std::size_t callCount(store_call Call) const;

private:
  store_fault faultOf(store_call Call, const object_key &Key);
  /// Applies a conditional write with the fault; `Expected` of 0 means absent.
  write_answer write(store_call Call, const object_key &Key,
                     object_position Expected,
                     const std::function<object_version()> &Apply);
  object_version versionOf(const object_key &Key) const;
  object_version put(const object_key &Key, const std::string &Value);

  memory_object_store_options Options;
  std::map<object_key, platform_object> Objects;
  std::map<object_key, platform_object> CopiedObjects;
  std::map<store_call, std::size_t> CallCounts;
  store_era Era{1};
  object_version LastVersion;
  object_version CopiedVersion;
  bool IsInsideHook = false;
};

} // namespace bw

#endif
