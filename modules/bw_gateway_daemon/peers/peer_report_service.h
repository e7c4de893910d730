#ifndef BW_GATEWAY_DAEMON_PEERS_PEER_REPORT_SERVICE_H
#define BW_GATEWAY_DAEMON_PEERS_PEER_REPORT_SERVICE_H

#include "bw_forward/service/forward_rings.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_gateway_daemon/peers/exchange_fetch_service.h"
#include "bw_gateway_daemon/peers/exchange_messages.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

namespace bw {

/// What the decide duty saw of the servers since its last report.
struct own_report {
  /// Requests of the own data centre at each server; only in a report that is
  /// to tell other data centres of them.
  std::optional<std::vector<server_report>> DataCentreLoad;
  std::vector<server_report> Servers;
  /// It holds a failure that hosts of all data centres should know of.
  bool IsUrgent = false;
  /// It only tells the state of this host, to all data centres.
  bool IsNotice = false;
};

using own_report_ring = bounded_ring<own_report>;

struct peer_report_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Reports of others are taken in together after this time.
  duration GatherTime = std::chrono::milliseconds(60);
  /// A host without requests still tells that it lives, and what it knows.
  duration SilentInterval = std::chrono::milliseconds(800);
  std::uint64_t Seed = 1;
};

/// Duty *peers*: sends this host's reports to others and takes in theirs, as
/// datagrams, of which any may be lost.
class peer_report_service : public service {
public:
  static constexpr std::string_view ServiceName = "peers";

  peer_report_service(runtime_clock &Clock, peer_report_options Options);
  ~peer_report_service() override;

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  /// This host shall tell other data centres of the load of its own.
  /// Thread-safe.
  bool isSummarizer() const { return Summarizer.load(); }
  /// Reports of the decide duty. Thread-safe.
  own_report_ring &reports() { return Reports; }

private:
  struct socket_state;

  void run();
  void send(const own_report &Report);
  void sendSummary(const std::vector<server_report> &Load);
  void sendTo(const std::vector<gateway_host> &Targets,
              const std::string &Bytes);
  void receiveAll();
  void take(host_report Report);
  void orderMissing();

  runtime_clock &Clock;
  peer_report_options Options;
  random_source Random;
  own_report_ring Reports;
  gateway_event_ring *Decide = nullptr;
  platform_state *State = nullptr;
  exchange_fetch_service *Fetch = nullptr;
  std::unique_ptr<socket_state> Socket;
  std::atomic<bool> Summarizer = false;
  time_point LastSent{};
  /// Another host was first seen to have a newer configuration.
  std::optional<time_point> BehindSince;
  std::thread Thread;
};

} // namespace bw

#endif
