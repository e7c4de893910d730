#ifndef BW_GATEWAY_DAEMON_DECIDE_GATEWAY_DECIDE_SERVICE_H
#define BW_GATEWAY_DAEMON_DECIDE_GATEWAY_DECIDE_SERVICE_H

#include "bw_forward/service/forward_rings.h"
#include "bw_gateway/engine/gateway_engine.h"
#include "bw_gateway/messages/ring_bounds.h"
#include "bw_gateway_daemon/peers/peer_report_service.h"

#include <atomic>
#include <optional>
#include <thread>

namespace bw {

struct gateway_decide_options {
  gateway_engine_options Engine;
  std::size_t EventCapacity = EventRingCapacity;
  /// Interval of reports to other hosts while requests are open.
  duration ReportInterval = std::chrono::milliseconds(80);
  /// Interval of reports that contain a new failure; failures within it are
  /// reported together.
  duration UrgentInterval = std::chrono::milliseconds(40);
  /// Interval of load summaries from the first aggregator to the aggregators of
  /// other data centres.
  duration SummaryInterval = std::chrono::milliseconds(300);
  /// Interval of reports of a host without load where customers have limits.
  duration IdleInterval = std::chrono::milliseconds(600);
};

/// Service *decide*: owns the gateway engine. Receives events through a ring
/// and sends commands to the forward service.
class gateway_decide_service : public gateway_event_sink {
public:
  gateway_decide_service(runtime_clock &Clock, gateway_decide_options Options);
  ~gateway_decide_service() override;

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  gateway_event_ring &events() override { return Events; }

  /// True if a configuration and a list of servers are known. Thread-safe.
  bool isReady() const { return Ready.load(); }
  /// Number of requests without a response. Thread-safe.
  std::size_t openRequests() const { return OpenRequests.load(); }
  /// Number of requests that wait until a server has room. Thread-safe.
  std::size_t waitingRequests() const { return WaitingRequests.load(); }
  /// Mean age of the load of other hosts as known here; no value if none was
  /// ever reported. Thread-safe.
  std::optional<duration> loadAge() const;
  /// Version of the configuration in force. Thread-safe.
  config_version version() const { return config_version(Version.load()); }

private:
  void run();
  void noticeSuspension(time_point Now, gateway_engine::commands &Out);
  bool hasLoad() const;
  time_point nextReport() const;
  void report(time_point Now);

  runtime_clock &Clock;
  duration ReportInterval;
  duration UrgentInterval;
  duration SummaryInterval;
  duration IdleInterval;
  gateway_engine Engine;
  gateway_event_ring Events;
  gateway_command_ring *Commands = nullptr;
  peer_report_service *Peers = nullptr;
  /// Time for which the host was suspended, as last told to the engine.
  duration Suspended{};
  time_point LastReport{};
  time_point LastAggregate{};
  time_point LastSummary{};
  /// The last report contained requests in flight, so another report must
  /// announce their end.
  bool HasReportedLoad = false;
  std::atomic<bool> Ready = false;
  std::atomic<std::size_t> OpenRequests = 0;
  std::atomic<std::size_t> WaitingRequests = 0;
  /// Default value if no load was reported.
  std::atomic<time_point> LoadReportedAt = time_point();
  std::atomic<std::uint64_t> Version = 0;
  std::thread Thread;
};

} // namespace bw

#endif
