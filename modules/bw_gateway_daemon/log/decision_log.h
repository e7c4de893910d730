#ifndef BW_GATEWAY_DAEMON_LOG_DECISION_LOG_H
#define BW_GATEWAY_DAEMON_LOG_DECISION_LOG_H

#include "bw_gateway/engine/gateway_log.h"

namespace bw {

/// Creates an observer that writes one log line for each decision.
gateway_observer makeDecisionLog();

} // namespace bw

#endif
