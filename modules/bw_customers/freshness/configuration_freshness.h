#ifndef BW_CUSTOMERS_FRESHNESS_CONFIGURATION_FRESHNESS_H
#define BW_CUSTOMERS_FRESHNESS_CONFIGURATION_FRESHNESS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bw {

/// Identifies one query for a proof, sent to one host.
using query_number = strong_number<struct query_number_tag>;

struct configuration_freshness_options {
  /// Longest time after its withdrawal for which a key may be used. Nothing
  /// switches the check off.
  std::optional<duration> Bound = {};
  /// Longest delay between the last check and the sending of a request.
  duration Margin = std::chrono::milliseconds(200);
  /// The store is read when the proof is older than this share of the bound.
  /// Hosts choose different ones, so that they do not all read at once.
  double ReadShare = 0.6;
  /// After the store has come back from an older copy, it proves nothing for
  /// this long: versions that it had acknowledged may be missing until they are
  /// written again.
  duration RestoreTime = std::chrono::seconds(2);
  /// Random, so that a late reply to a query of an earlier process on this host
  /// is not taken for the reply to a new one.
  query_number FirstQuery{1};
};

/// Which hosts to ask for a proof.
enum class query_reach : std::uint8_t {
  None,
  Aggregators, ///< Those of the own data centre; an aggregator asks followers.
  Everywhere,  ///< Also random hosts of all data centres.
};

/// The answer of another host to a query: it could show that the version was
/// current this long before it answered.
struct freshness_reply {
  query_number Number;
  config_version Version;
  duration Age{};

  friend bool operator==(const freshness_reply &,
                         const freshness_reply &) = default;
};

/// Holds until when the configuration in force is known to have been current,
/// and decides when to ask for a newer proof. All times are boot times. Not
/// thread-safe.
class configuration_freshness {
public:
  explicit configuration_freshness(configuration_freshness_options Options);

  bool isOn() const { return Options.Bound.has_value(); }

  /// Records the version that came into force. Older versions are ignored.
  void setVersion(config_version Version, boot_time_point Now);
  config_version version() const { return Version; }

  /// Records that no newer version existed at that time. Only proofs for the
  /// version in force count, and none if a newer version is known. Returns true
  /// if it is newer than those before.
  bool recordProof(config_version Proven, boot_time_point At);
  /// The same for a call to the store that was sent at that time. Counts only
  /// if the store has all versions by then.
  bool recordStoreProof(config_version Proven, boot_time_point SentAt);
  /// Records that the store has come back from an older copy.
  void recordRestore(boot_time_point Now);
  /// Records that another host has this version. Returns true if it is newer
  /// than all that are known.
  bool recordReportedVersion(config_version Reported);
  /// The newest version that is known to exist.
  config_version newestKnown() const { return NewestKnown; }
  /// True if a newer version than the one in force is known to exist.
  bool isNewerVersionKnown() const { return NewestKnown > Version; }

  /// When the next query is due.
  boot_time_point nextQuery() const;
  /// Which hosts to ask now.
  query_reach reach(boot_time_point Now) const;
  /// Numbers the queries that are sent now, one for each host asked.
  std::vector<query_number> startQueries(std::size_t Count,
                                         boot_time_point Now);
  /// Turns a reply into a proof. Returns true if it is newer than those before.
  bool recordReply(const freshness_reply &Reply, boot_time_point Now);
  /// Returns the reply to a query of another host, if there is a proof.
  std::optional<freshness_reply> answer(query_number Number,
                                        boot_time_point Now) const;

  /// When this host should read the store itself.
  boot_time_point storeReadDue() const;
  /// Longest watch of a host that follows the store.
  std::optional<duration> watchLimit(boot_time_point Now) const;

  /// Requests with keys must not be sent from this time on; nothing if the
  /// check is off.
  std::optional<boot_time_point> sendBefore() const;
  bool isFresh(boot_time_point Now) const;
  /// The latest time at which the version is known to have been current.
  std::optional<boot_time_point> verifiedAt() const { return Verified; }
  /// Time since then.
  std::optional<duration> proofAge(boot_time_point Now) const;

private:
  struct open_query {
    query_number Number;
    boot_time_point SentAt;
  };

  duration share(double Share) const;

  configuration_freshness_options Options;
  config_version Version;
  config_version NewestKnown;
  std::optional<boot_time_point> Verified;
  /// When the first version came into force.
  boot_time_point Since{};
  /// Calls to the store that are sent before it prove nothing. Set by a
  /// restore.
  std::optional<boot_time_point> StoreProofsFrom;
  query_number LastQuery;
  boot_time_point NextQuery{};
  /// Queries without a reply, oldest first.
  std::deque<open_query> Open;
};

} // namespace bw

#endif
