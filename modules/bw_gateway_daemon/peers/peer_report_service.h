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

/// Observations of the decide service about servers since its last report.
struct own_report {
  /// For the aggregators of other data centres; set by the first aggregator.
  std::optional<load_summary> Summary;
  /// For the hosts of the local data centre; set by aggregators.
  std::optional<load_aggregate> Aggregate;
  peer_reported Observations;
  /// Contains a failure that all hosts of the data centre should learn at once.
  bool IsUrgent = false;
  /// Set for a report that contains only the state of this host: its
  /// recipients.
  enum class notice : std::uint8_t {
    None,
    /// The hosts of the local data centre, if this host is an aggregator.
    Near,
    /// Also the aggregators of other data centres.
    Aggregators,
    /// Also aggregators and random hosts, which pass it on.
    Everywhere
  };
  notice Notice = notice::None;
};

using own_report_ring = bounded_ring<own_report>;

struct peer_report_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// An aggregator processes the reports received within this time together.
  duration ReceiveBatchTime = std::chrono::milliseconds(10);
  /// Interval of checks whether the duty of this host has changed.
  duration DutyCheckInterval = std::chrono::milliseconds(200);
  /// Interval at which a host without requests reports its state.
  duration IdleReportInterval = std::chrono::milliseconds(800);
  std::uint64_t Seed = 1;
};

/// Service *peers*: sends this host's reports to other hosts on one thread and
/// receives theirs on another. Reports are datagrams and may be lost.
class peer_report_service : public service {
public:
  static constexpr std::string_view ServiceName = "peers";

  peer_report_service(runtime_clock &Clock, peer_report_options Options);
  ~peer_report_service() override;

  void attach(service_registry &Registry) override;
  /// \throws listen_error
  void start() override;
  void stop() override;

  /// The ring for reports of the decide service. Thread-safe.
  own_report_ring &reports() { return Reports; }

private:
  struct socket_state;

  void queueNotice(own_report::notice Reach);
  void sendAll();
  void send(own_report Report);
  void sendNotice(own_report::notice Reach);
  void sendQueries();
  void updateDuty();
  host_report makeStateReport() const;
  void sendTo(const std::vector<gateway_host> &Targets,
              const std::string &Bytes);
  void receiveNext();
  void receiveAll();
  void handleReport(host_report Report);
  void answerQuery(const freshness_query &Query, const std::string &Ip);
  void logNewerVersion(const host_report &Report);
  void fetchNewerState();

  runtime_clock &Clock;
  peer_report_options Options;
  random_source Random;
  own_report_ring Reports;
  gateway_event_ring *Decide = nullptr;
  platform_state *State = nullptr;
  exchange_fetch_service *Fetch = nullptr;
  std::unique_ptr<socket_state> Socket;
  /// The duty last sent to the decide service; used by the sending thread.
  exchange_duty Duty;
  std::atomic<bool> IsAggregator = false;
  time_point LastSent{};
  time_point LastSentFar{};
  time_point LastSentUnheard{};
  /// When another host was first seen with a newer configuration; used by the
  /// receiving thread.
  std::optional<time_point> BehindSince;
  /// The newest version that was logged as reported by another host.
  config_version ReportedVersion;
  std::thread Sender;
  std::thread Receiver;
};

} // namespace bw

#endif
