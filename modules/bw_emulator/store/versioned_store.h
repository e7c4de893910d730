#ifndef BW_EMULATOR_STORE_VERSIONED_STORE_H
#define BW_EMULATOR_STORE_VERSIONED_STORE_H

#include "bw_core/ids/store_position.h"
#include "bw_core/ids/units.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// Objects by kind and name, with one revision for all of them and a history
/// of changes that can be dropped. A copy can be restored. Not thread-safe.
class versioned_store {
public:
  struct object {
    std::string Name;
    std::string Value;
    store_revision Revision;
  };
  struct change {
    object Object;
    bool IsRemoved = false;
  };
  enum class outcome { Done, Exists, Absent, Conflict };

  outcome create(const std::string &Kind, const std::string &Name,
                 std::string Value);
  /// An unchanged value makes no change. Expected: only at that revision.
  outcome replace(const std::string &Kind, const std::string &Name,
                  std::string Value,
                  std::optional<store_revision> Expected = {});
  /// As one of the two above.
  void put(const std::string &Kind, const std::string &Name, std::string Value);
  outcome remove(const std::string &Kind, const std::string &Name);

  std::optional<object> get(const std::string &Kind,
                            const std::string &Name) const;
  std::vector<object> list(const std::string &Kind) const;
  /// The objects whose names come after one, up to a number and up to about a
  /// size of their values; at least one, if there are any.
  struct page {
    std::vector<object> Objects;
    bool HasMore = false;
  };
  page listPage(const std::string &Kind, const std::string &After,
                std::size_t MaxObjects, byte_count MaxSize) const;
  /// Nothing when the history after the revision is gone, or the store does not
  /// have that revision.
  std::optional<std::vector<change>>
  changesAfter(const std::string &Kind, store_revision Revision) const;
  store_position position() const { return {.Era = Era, .Revision = Revision}; }
  void dropHistory();
  /// Becomes what the copy was, and gives out its next revisions again.
  void restore(const versioned_store &Copy);

private:
  struct recorded_change {
    std::string Kind;
    change Change;
  };
  void record(const std::string &Kind, object Object, bool IsRemoved);

  std::map<std::string, std::map<std::string, object>> Kinds;
  /// The oldest changes are discarded above this size of their values.
  static constexpr byte_count MaxHistory = mebibytes(64);
  std::deque<recorded_change> History;
  std::size_t HistorySize = 0;
  store_era Era{1};
  store_revision Revision{1};
  /// Changes up to here are not in the history.
  store_revision HistoryStart{1};
};

} // namespace bw

#endif
