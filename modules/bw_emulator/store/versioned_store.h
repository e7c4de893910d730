#ifndef BW_EMULATOR_STORE_VERSIONED_STORE_H
#define BW_EMULATOR_STORE_VERSIONED_STORE_H

#include "bw_gateway/messages/gateway_events.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// Objects by kind and name, with one revision for all of them and a history
/// of changes that can be dropped. Not thread-safe.
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
  /// Nothing when the history after the revision is gone.
  std::optional<std::vector<change>>
  changesAfter(const std::string &Kind, store_revision Revision) const;
  store_revision revision() const { return Revision; }
  void dropHistory();

private:
  struct recorded_change {
    std::string Kind;
    change Change;
  };
  void record(const std::string &Kind, object Object, bool IsRemoved);

  std::map<std::string, std::map<std::string, object>> Kinds;
  std::deque<recorded_change> History;
  store_revision Revision{1};
  /// Changes up to here are not in the history.
  store_revision HistoryStart{1};
};

} // namespace bw

#endif
