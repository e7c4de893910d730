#ifndef BW_GATEWAY_DAEMON_METRICS_GATEWAY_METRICS_H
#define BW_GATEWAY_DAEMON_METRICS_GATEWAY_METRICS_H

#include "bw_forward/service/forward_service.h"
#include "bw_gateway/engine/gateway_log.h"
#include "bw_gateway_daemon/decide/gateway_decide_service.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_kernel/log/log_writer.h"
#include "bw_reports/metrics/metric_registry.h"

#include <string>

namespace bw {

/// What the metrics page shows besides the decisions. All must outlive it.
struct metric_sources {
  std::string Host;
  std::string Version;
  const gateway_decide_service &Decide;
  const forward_service &Forward;
  const platform_state &State;
  const log_writer &Log;
};

/// Describes all metrics of the daemon and adds its gauges.
void addDaemonMetrics(metric_registry &Metrics, const metric_sources &Sources);

/// Observers that count each decision. The registry must outlive them.
gateway_observer makeDecisionMetrics(metric_registry &Metrics);

/// Both observers, one after the other.
gateway_observer combineObservers(const gateway_observer &First,
                                  const gateway_observer &Second);

} // namespace bw

#endif
