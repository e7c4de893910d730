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
  /// For the aggregators of other data centres, from a first aggregator.
  std::optional<load_summary> Summary;
  /// For the hosts of the own data centre, from an aggregator.
  std::optional<load_aggregate> Aggregate;
  peer_reported Observations;
  /// It holds a failure that all hosts of the data centre should know of now.
  bool IsUrgent = false;
  /// It only tells the state of this host.
  enum class notice : std::uint8_t {
    None,
    /// To the own data centre, if this host is an aggregator.
    Near,
    /// To as many as can pass it on.
    Everywhere
  };
  notice Notice = notice::None;
};

using own_report_ring = bounded_ring<own_report>;

struct peer_report_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// An aggregator takes in the reports of this time together.
  duration GatherTime = std::chrono::milliseconds(10);
  /// Between two looks at whether this host has another duty.
  duration DutyInterval = std::chrono::milliseconds(200);
  /// A host without requests still tells that it lives, and what it knows.
  duration SilentInterval = std::chrono::milliseconds(800);
  std::uint64_t Seed = 1;
};

/// Duty *peers*: sends this host's reports to others on one thread and takes in
/// theirs on another, as datagrams, of which any may be lost.
class peer_report_service : public service {
public:
  static constexpr std::string_view ServiceName = "peers";

  peer_report_service(runtime_clock &Clock, peer_report_options Options);
  ~peer_report_service() override;

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  /// Reports of the decide duty. Thread-safe.
  own_report_ring &reports() { return Reports; }

private:
  struct socket_state;

  void order(own_report::notice Reach);
  void sendAll();
  void send(own_report Report);
  void sendNotice(own_report::notice Reach);
  void noteDuty();
  host_report emptyReport() const;
  void sendTo(const std::vector<gateway_host> &Targets,
              const std::string &Bytes);
  void receiveNext();
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
  /// As the decide duty was last told; sending thread.
  exchange_duty Duty;
  std::atomic<bool> IsAggregator = false;
  time_point LastSent{};
  time_point LastSentFar{};
  /// Another host was first seen to have a newer configuration; receiving
  /// thread.
  std::optional<time_point> BehindSince;
  std::thread Sender;
  std::thread Receiver;
};

} // namespace bw

#endif
