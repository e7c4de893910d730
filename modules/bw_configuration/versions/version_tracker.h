#ifndef BW_CONFIGURATION_VERSIONS_VERSION_TRACKER_H
#define BW_CONFIGURATION_VERSIONS_VERSION_TRACKER_H

#include "bw_configuration/versions/version_messages.h"
#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"

#include <map>
#include <optional>
#include <vector>

namespace bw {

struct version_tracker_options {
  /// Number of hosts of the own data centre that are notified of a new version.
  std::size_t Fanout = 4;
  duration ExchangeInterval = std::chrono::seconds(1);
  /// An exchange without an answer is repeated with a random host after this
  /// time.
  duration ExchangeTimeout = std::chrono::milliseconds(200);
  /// A fetch without an answer is repeated, from another source if there is
  /// one.
  duration FetchTimeout = std::chrono::milliseconds(250);
  /// Notices of a new version are repeated once after this time, to randomly
  /// chosen hosts: if 4 of 8 messages are lost or duplicated, a single round
  /// misses hosts.
  duration NoticeRepeatDelay = std::chrono::milliseconds(300);
};

/// The configuration version of this host, which never decreases, and the known
/// versions of other hosts. Distributes versions by notices, which are pushed,
/// and anti-entropy exchanges. Not thread-safe.
class version_tracker {
public:
  version_tracker(host_id Self, data_centre_id DataCentre,
                  version_tracker_options Options = {});

  /// To be called with the live hosts whenever they change. This host is
  /// ignored.
  void setPeers(const std::vector<version_peer> &Peers);

  /// Sets whether this is one of the two hosts of its data centre that watch
  /// the store's head.
  void setWatcher(bool Watches) { Watcher = Watches; }

  /// The watch reported this version of the store's head.
  version_commands headSeen(config_version Version, time_point Now,
                            random_source &Random);

  /// A peer has this version, as known from a notice, a heartbeat or a fetch.
  version_commands peerHas(const host_id &Peer, config_version Version,
                           time_point Now, random_source &Random);

  version_commands exchangeReceived(const host_id &Peer, config_version Version,
                                    bool WantsReply, time_point Now,
                                    random_source &Random);

  /// The fetched configuration was applied on this host. Versions that are not
  /// newer than the own one are ignored.
  version_commands applied(config_version Version, time_point Now,
                           random_source &Random);

  /// The fetch failed or returned an unusable configuration.
  version_commands fetchFailed(time_point Now, random_source &Random);

  /// To be called about every 50 ms.
  version_commands tick(time_point Now, random_source &Random);

  config_version own() const { return Own; }

  /// The highest known version.
  config_version highestKnown() const { return HighestKnown; }

  /// The lowest version of the live hosts of the data centre; 0 if the version
  /// of one of them is unknown or no host is known.
  config_version inForce(const data_centre_id &DataCentre) const;

private:
  struct peer_record {
    data_centre_id DataCentre;
    config_version Version;
  };

  void notifyOthers(version_commands &Out, random_source &Random);
  void fetchIfBehind(version_commands &Out, time_point Now,
                     random_source &Random);
  void startFetch(version_commands &Out, time_point Now, random_source &Random);
  void exchange(version_commands &Out, time_point Now, random_source &Random);
  std::optional<host_id> chooseSource(random_source &Random) const;
  std::vector<host_id> hostsOf(const data_centre_id &DataCentre) const;

  host_id Self;
  data_centre_id DataCentre;
  version_tracker_options Options;
  std::map<host_id, peer_record> Peers;
  config_version Own;
  config_version HighestKnown;
  /// The highest version that the watch reported.
  config_version StoreVersion;
  bool Watcher = false;
  std::optional<time_point> FetchDeadline;
  /// Source of the last fetch. An empty id stands for the store.
  std::optional<host_id> FetchSource;
  time_point NextExchange{};
  std::optional<time_point> ExchangeDeadline;
  std::optional<time_point> RepeatNoticeAt;
};

} // namespace bw

#endif
