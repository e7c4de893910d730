#ifndef BW_MEMBERSHIP_HOSTS_MEMBERSHIP_VIEW_H
#define BW_MEMBERSHIP_HOSTS_MEMBERSHIP_VIEW_H

#include "bw_core/random/random_source.h"
#include "bw_membership/hosts/membership_messages.h"

#include <map>
#include <set>
#include <vector>

namespace bw {

struct membership_options {
  duration HeartbeatInterval = std::chrono::seconds(1);
  duration SuspectAfter = std::chrono::seconds(3);
  duration DeadAfter = std::chrono::seconds(5);
  /// A longer gap between ticks means that this host itself was paused.
  duration LocalPauseThreshold = std::chrono::milliseconds(1500);
  /// Observers of a host in its own data centre. One more is in another one.
  std::size_t Observers = 3;
  /// Heartbeats per message of an exchange, the sender's own included.
  std::size_t MaxHeartbeats = 6;
  /// Number of exchanges after the start that request the full view.
  std::size_t FullViewExchanges = 3;
  /// Hosts to which each host pushes a change immediately when it learns of it.
  /// Also the number of random hosts that are queried about a suspected one.
  std::size_t Fanout = 4;
  /// Limit of push messages a second. Further changes wait for an exchange.
  std::size_t PushesPerSecond = 16;
  /// Interval of queries about a suspected host.
  duration QueryInterval = std::chrono::milliseconds(500);
  /// Dead hosts that are not listed are removed after this time.
  duration ForgetAfter = std::chrono::minutes(10);
};

/// Gossip-based failure detector: the live hosts, from heartbeats and the host
/// list.
///
/// At 670 hosts, no host can receive a fresh heartbeat of every other host
/// within the suspicion time for 2 KB a second. Each host therefore sends its
/// heartbeat every second to a few *observers*: the next hosts of its data
/// centre on a ring ordered by hash, and one host of another data centre. Only
/// observers judge a host by the age of its latest heartbeat. Deaths
/// that they detect, and all other changes, are pushed immediately to a few
/// random hosts and piggybacked on the exchange that each host makes every
/// second with one random host. An exchange also carries a bounded number of
/// the known heartbeats, in rotation. A suspected host refutes the suspicion
/// with a higher sequence number.
///
/// Traffic: a message of an exchange has 6 * 48 = 288 bytes, so a host sends
/// about 4 * 48 + 2 * 288 = 768 bytes a second and receives as much, for any
/// number of hosts. A change adds 4 * 96 bytes once. Not thread-safe.
class membership_view {
public:
  membership_view(daemon_id Self, data_centre_id DataCentre,
                  start_order Started, membership_options Options = {});

  /// To be called about every 100 ms: sends heartbeats and checks observed
  /// hosts.
  membership_step tick(time_point Now, random_source &Random);

  membership_step receive(const membership_message &Message, time_point Now,
                          random_source &Random);

  /// Takes the complete host list as read now. It may be out of date or
  /// contradict heartbeats: a host that is no longer listed counts as dead
  /// until a newer heartbeat arrives, and a host that is listed as live but has
  /// sent no heartbeat is not a member.
  membership_step updateHostList(const std::vector<listed_host> &List,
                                 time_point Now);

  /// Announces this host's planned stop to all members immediately.
  membership_step announceLeaving(time_point Now);

  void setVersion(config_version Version) { Own.Version = Version; }

  /// Members that accept requests: live or suspected, and not leaving. Excludes
  /// this host.
  std::vector<heartbeat> usable() const;

  /// All members that are not dead, including leaving ones. Excludes this host.
  std::vector<heartbeat> present() const;

  /// All listed hosts, members or not. A starting host can contact these.
  const std::map<host_id, listed_host> &listed() const { return Listed; }

  const heartbeat &own() const { return Own; }

  /// True if this host is an observer of the given one.
  bool observes(const host_id &Host) const { return Observed.contains(Host); }

private:
  struct record {
    heartbeat Latest;
    time_point LastHeardAt{};
    /// Number of further exchanges that carry this record as a change.
    unsigned PendingTransmissions = 0;
    bool RemovedByList = false;
    time_point LastQueryAt{};
    /// Hosts waiting for a newer heartbeat than this host had when they asked.
    std::set<host_id> WaitingHosts;
  };

  struct ring_entry {
    std::uint64_t Position = 0;
    host_id Host;
    data_centre_id DataCentre;

    friend auto operator<=>(const ring_entry &, const ring_entry &) = default;
  };

  void reply(const membership_message &Asked, membership_step &Out);
  void sendHeartbeats(time_point Now, membership_step &Out,
                      random_source &Random);
  void checkObserved(time_point Now, membership_step &Out,
                     random_source &Random);
  void restartTimeOuts(time_point Now);
  void merge(const heartbeat &Received, time_point Now, membership_step &Out,
             std::vector<host_id> &Changed);
  void mergeOwn(const heartbeat &Received);
  static bool isNewer(const heartbeat &Received, const heartbeat &Known);
  bool raiseSuspicion(record &Record, host_suspicion Suspicion,
                      membership_step &Out);
  void querySuspected(const record &Record, membership_step &Out,
                      random_source &Random);
  void refute(const heartbeat &Received, const host_id &Sender,
              membership_step &Out);
  bool isKnownToLeave(const heartbeat &Received, const heartbeat &Before,
                      bool SameIncarnation, bool IsNew) const;
  static std::vector<membership_change> changes(const heartbeat &Before,
                                                const heartbeat &After,
                                                bool IsNew,
                                                bool SameIncarnation);
  static heartbeat onWire(const record &Record);
  void removeExpired(time_point Now);
  void pushChanges(const std::vector<host_id> &Changed, membership_step &Out,
                   time_point Now, random_source &Random);
  membership_message composeExchange(const host_id &To, bool WantsReply);
  void rebuildRing(time_point Now);
  std::vector<host_id> observersAt(std::size_t Index) const;
  std::vector<host_id> observersOf(const host_id &Host) const;
  std::vector<host_id> exchangeCandidates() const;

  heartbeat Own;
  membership_options Options;
  std::map<host_id, record> Members;
  std::map<host_id, listed_host> Listed;
  /// This host and all members that are not dead, by position.
  std::vector<ring_entry> Ring;
  bool RingChanged = true;
  std::set<host_id> Observed;
  std::vector<host_id> OwnObservers;
  host_id RotationCursor;
  time_point LastTick{};
  time_point NextHeartbeat{};
  time_point PushWindow{};
  std::size_t PushesInWindow = 0;
  bool Started = false;
  std::size_t ExchangesMade = 0;
};

} // namespace bw

#endif
