#ifndef BW_GATEWAY_DAEMON_METRICS_GATEWAY_METRICS_H
#define BW_GATEWAY_DAEMON_METRICS_GATEWAY_METRICS_H

#include "bw_forward/service/forward_counters.h"
#include "bw_forward/service/forward_service.h"
#include "bw_gateway/engine/gateway_log.h"
#include "bw_gateway_daemon/decide/gateway_decide_service.h"
#include "bw_gateway_daemon/follow/platform_state.h"
#include "bw_kernel/log/log_writer.h"
#include "bw_reports/metrics/metric_registry.h"

#include <string>

namespace bw {

/// Sources of the metrics that are not derived from decisions. The referenced
/// objects must outlive the registry.
struct metric_sources {
  std::string Host;
  std::string Version;
  const gateway_decide_service &Decide;
  const forward_service &Forward;
  const platform_state &State;
  const log_writer &Log;
};

/// Registers the descriptions of all daemon metrics, and the gauges.
void addDaemonMetrics(metric_registry &Metrics, const metric_sources &Sources);

/// Registers the budgets of the process and the callers closed because of them.
/// The counters must outlive the registry.
void addBudgetMetrics(metric_registry &Metrics,
                      const forward_counters &Counters);

/// Creates an observer that counts each decision. The registry must outlive it.
gateway_observer makeDecisionMetrics(metric_registry &Metrics);

/// Creates a hook that counts refused configurations. The registry must outlive
/// it.
std::function<void(const configuration_refusal &)>
makeRefusalMetric(metric_registry &Metrics);

/// Creates an observer that calls the first observer, then the second.
gateway_observer combineObservers(const gateway_observer &First,
                                  const gateway_observer &Second);

} // namespace bw

#endif
