#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_FETCH_SERVICE_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_FETCH_SERVICE_H

#include "bw_gateway/hosts/fetch_limits.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_http/client/http_call_session.h"
#include "bw_kernel/rings/bounded_ring.h"

#include <array>
#include <atomic>
#include <functional>
#include <thread>

namespace bw {

enum class exchange_item : std::uint8_t { Servers, Configuration, Hosts };

/// Path of the page that serves the item to other hosts.
std::string exchangePath(exchange_item Item);

struct fetch_request {
  exchange_item Wanted = exchange_item::Servers;
  gateway_host From;
};

struct exchange_fetch_options {
  fetch_limits Limits = {};
  /// Hosts to fetch from while no other host is known, such as after a start
  /// while the store is unavailable. Only their address and exchange port are
  /// used.
  std::vector<gateway_host> Seeds;
  /// Interval between attempts to fetch from the seeds.
  duration SeedInterval = std::chrono::milliseconds(500);
  /// The same for the first attempts after the start.
  duration InitialSeedInterval = std::chrono::milliseconds(40);
  std::size_t InitialSeedAttempts = 6;
};

/// Service *fetch*: fetches the configuration, the server list and the host
/// list from other hosts. Lists are fetched on a thread of their own, since
/// they must not wait for a large configuration.
class exchange_fetch_service : public service {
public:
  static constexpr std::string_view ServiceName = "fetch";

  exchange_fetch_service(runtime_clock &Clock, exchange_fetch_options Options);
  ~exchange_fetch_service() override;

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  /// Queues a fetch; does nothing while one for the same item is pending.
  /// Thread-safe.
  void requestFetch(fetch_request Request);

private:
  /// Fetches that are done one after the other.
  struct lane {
    explicit lane(runtime_clock &Clock);

    bounded_ring<fetch_request> Requests;
    http_call_session Session;
    std::thread Thread;
  };

  lane &laneOf(exchange_item Item) {
    return Item == exchange_item::Configuration ? Configurations : Lists;
  }
  void run(lane &Lane);
  bool fetch(const fetch_request &Request);
  void logFetch(const fetch_request &Request, const call_result &Result) const;
  void store(const fetch_request &Request, const http_response &Response);
  void fetchFromSeed(lane &Lane, std::size_t Attempt);
  bool lacksState(const lane &Lane) const;

  runtime_clock &Clock;
  exchange_fetch_options Options;
  platform_state *State = nullptr;
  std::array<std::atomic<bool>, 3> IsPending{};
  lane Lists;
  lane Configurations;
};

} // namespace bw

#endif
