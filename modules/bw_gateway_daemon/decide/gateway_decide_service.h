#ifndef BW_GATEWAY_DAEMON_DECIDE_GATEWAY_DECIDE_SERVICE_H
#define BW_GATEWAY_DAEMON_DECIDE_GATEWAY_DECIDE_SERVICE_H

#include "bw_forward/service/forward_rings.h"
#include "bw_gateway/engine/gateway_engine.h"
#include "bw_gateway_daemon/peers/peer_report_service.h"

#include <atomic>
#include <thread>

namespace bw {

struct gateway_decide_options {
  gateway_engine_options Engine;
  std::size_t EventCapacity = 8192;
  /// Between two reports to other hosts while there are requests.
  duration ReportInterval = std::chrono::milliseconds(80);
  /// A failure is told after this time, together with others.
  duration UrgentInterval = std::chrono::milliseconds(40);
  /// Between two sums of load for other data centres, of one host in each.
  duration SummaryInterval = std::chrono::milliseconds(300);
};

/// Duty *decide*: owns the gateway engine. Events come in by a ring, commands
/// go to the forward duty.
class gateway_decide_service : public gateway_event_sink {
public:
  gateway_decide_service(runtime_clock &Clock, gateway_decide_options Options);
  ~gateway_decide_service() override;

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  gateway_event_ring &events() override { return Events; }

  /// A configuration and a list of servers are known. Thread-safe.
  bool isReady() const { return Ready.load(); }
  /// Requests without an answer. Thread-safe.
  std::size_t openRequests() const { return OpenRequests.load(); }
  /// Thread-safe.
  config_version version() const { return config_version(Version.load()); }

private:
  void run();
  bool hasLoad() const;
  time_point nextReport() const;
  void report(time_point Now);

  runtime_clock &Clock;
  duration ReportInterval;
  duration UrgentInterval;
  duration SummaryInterval;
  gateway_engine Engine;
  gateway_event_ring Events;
  gateway_command_ring *Commands = nullptr;
  peer_report_service *Peers = nullptr;
  time_point LastReport{};
  time_point LastAggregate{};
  time_point LastSummary{};
  /// The last report named requests in flight, so others must hear of their
  /// end.
  bool HasReportedLoad = false;
  std::atomic<bool> Ready = false;
  std::atomic<std::size_t> OpenRequests = 0;
  std::atomic<std::uint64_t> Version = 0;
  std::thread Thread;
};

} // namespace bw

#endif
