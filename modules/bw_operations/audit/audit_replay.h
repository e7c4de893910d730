#ifndef BW_OPERATIONS_AUDIT_AUDIT_REPLAY_H
#define BW_OPERATIONS_AUDIT_AUDIT_REPLAY_H

#include "bw_schema/bramleywinch.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bw {

/// What a replay of the audit log shows.
struct audit_summary {
  std::uint64_t EntryCount = 0;
  /// Entries seen again, as after a lost acknowledgement; counted once.
  std::uint64_t RepeatedCount = 0;
  /// Number of entries by the event's name.
  std::map<std::string, std::uint64_t> EventCounts;
  /// One line for each order and record: fetches and who confirmed when.
  std::vector<std::string> Records;
  /// What a reviewer must look at: missing sequence numbers, confirmations
  /// recorded twice, entries that contradict each other.
  std::vector<std::string> Findings;
};

/// Replays audit entries in any order and checks them against each other.
class audit_replay {
public:
  void add(const schema::audit_entry &Entry);
  audit_summary finish() const;

private:
  using origin = std::pair<std::string, std::uint64_t>;
  struct record_state {
    std::uint64_t FetchCount = 0;
    /// Caller and the lines of its confirmations.
    std::map<std::string, std::vector<std::string>> Confirmations;
  };

  void addFindings(audit_summary &Summary) const;

  std::map<origin, std::map<std::uint64_t, std::string>> Lines;
  std::map<std::pair<std::string, std::string>, record_state> Records;
  std::map<std::string, std::uint64_t> EventCounts;
  std::vector<std::string> Contradictions;
  std::uint64_t EntryCount = 0;
  std::uint64_t RepeatedCount = 0;
};

} // namespace bw

#endif
