#ifndef BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_STATE_H
#define BW_GATEWAY_DAEMON_FOLLOW_PLATFORM_STATE_H

#include "bw_customers/freshness/configuration_freshness.h"
#include "bw_forward/service/forward_rings.h"
#include "bw_gateway/hosts/host_directory.h"
#include "bw_gateway_daemon/follow/platform_source.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace bw {

struct platform_state_options {
  /// This host, with the addresses at which others reach it.
  gateway_host Self;
  /// Interval at which servers renew their entries in the list.
  duration HeartbeatInterval = std::chrono::milliseconds(1500);
  /// The platform's limit for the time in which a leaving server may still get
  /// requests; it determines how often the list is read.
  duration DrainBound = std::chrono::seconds(2);
  /// Until when requests with keys may be served with a configuration. The
  /// number of the first query and the share at which the store is read are
  /// chosen at random.
  configuration_freshness_options Freshness = {};
  std::uint64_t Seed = 1;
};

/// A query to another host whether the own configuration is current.
struct verification_query {
  gateway_host To;
  query_number Number;
};

/// The state of the platform and of other hosts as known to this host, from the
/// store or from other hosts. Receives updates from all followers and forwards
/// new ones to the decide service. Thread-safe; has no thread of its own.
class platform_state : public service {
public:
  static constexpr std::string_view ServiceName = "platform_state";

  platform_state(runtime_clock &Clock, platform_state_options Options);

  void attach(service_registry &Registry) override;
  void start() override {}
  void stop() override {}

  /// Records the era of an answer of the store. Returns false if a newer era is
  /// known: the answer is late, or from a part of the store that lags behind,
  /// and must not be used.
  bool recordEra(store_era Answered);
  /// The newest era of the store that is known; 0 if it names none.
  store_era era() const;
  /// Updates the list of servers with one that this host read from the store.
  /// Returns false if the list in use is newer.
  bool offerServersRead(servers_listed Servers);
  /// Updates the list of servers with one from another host. Age is the time
  /// since it was read from the store.
  void offerServers(servers_listed Servers, duration Age);
  void offerConfiguration(
      std::shared_ptr<const gateway_configuration> Configuration);
  void offerHosts(const std::vector<gateway_host> &Hosts);
  /// Sets a hook that is called after a newer configuration was accepted. It
  /// runs under the lock and must not block. Call before the start.
  void setOnConfiguration(std::function<void()> Hook) {
    OnConfiguration = std::move(Hook);
  }
  /// The same for reads of the list of servers from the store.
  void setOnServersRead(std::function<void()> Hook) {
    OnServersRead = std::move(Hook);
  }
  /// The same when another host's reading confirmed or replaced the list.
  void setOnServersConfirmed(std::function<void()> Hook) {
    OnServersConfirmed = std::move(Hook);
  }
  void heard(const host_id &Host, const host_state &State);

  /// Records that no newer version existed when a call to the store was sent.
  void recordProof(config_version Version, boot_time_point SentAt);
  /// Returns the queries to send now.
  std::vector<verification_query> takeQueries();
  /// When to call `takeQueries` next.
  time_point nextQuery() const;
  /// Returns the reply to a query of another host, if there is a proof.
  std::optional<freshness_reply> answerQuery(query_number Number) const;
  void recordReply(const freshness_reply &Reply);
  /// Time until this host should verify its configuration at the store itself;
  /// nothing if it need not.
  std::optional<duration> untilStoreRead() const;
  /// Longest watch of the configuration; nothing if any will do.
  std::optional<duration> watchLimit() const;
  /// True unless requests with keys must be refused, as the configuration is
  /// not known to be current.
  bool mayServeKeys() const;
  /// Age of the proof that the configuration is current, if there is one.
  std::optional<duration> proofAge() const;

  const gateway_host &self() const { return Options.Self; }
  host_state ownState() const;
  /// Null or empty if nothing has been read yet.
  std::shared_ptr<const servers_listed> servers() const;
  std::shared_ptr<const gateway_configuration> configuration() const;
  std::vector<gateway_host> hosts() const;

  /// Calls the hook with the host directory, under the lock.
  template <typename Hook> auto withHosts(const Hook &Use) {
    const std::lock_guard Guard(Mutex);
    Directory.setOwnState(ownStateLocked(), Clock.now());
    return Use(Directory, Random);
  }

private:
  host_state ownStateLocked() const;
  /// Where a new era was seen, for the log.
  enum class era_source : std::uint8_t { Store, OtherHost };
  void raiseEra(store_era Known, era_source Source);
  /// Returns false if the list in use is newer.
  bool applyServers(servers_listed Servers, time_point ReadAt, bool IsOwn);
  bool isOutdated(const servers_listed &Offered, time_point ReadAt,
                  bool IsOwn) const;
  void logOutdated(const store_position &Read);
  bool needsProofLocked() const {
    return Configuration && Configuration->Customers;
  }
  /// Changes what is known of the versions and tells the decide service.
  void updateFreshness(const std::function<void()> &Change);

  runtime_clock &Clock;
  platform_state_options Options;
  gateway_event_ring *Decide = nullptr;
  std::function<void()> OnConfiguration = [] {};
  std::function<void()> OnServersRead = [] {};
  std::function<void()> OnServersConfirmed = [] {};
  mutable std::mutex Mutex;
  random_source Random;
  host_directory Directory;
  std::vector<gateway_host> Hosts;
  list_digest HostsDigest;
  store_era Era;
  /// An answer of an earlier era has been logged since the last change.
  bool HasLoggedEarlierEra = false;
  /// A list that was not applied has been logged since the last that was.
  bool HasLoggedOutdated = false;
  std::shared_ptr<const servers_listed> Servers;
  list_digest Digest;
  std::optional<time_point> ServersReadAt;
  std::shared_ptr<const gateway_configuration> Configuration;
  configuration_freshness Freshness;
};

} // namespace bw

#endif
