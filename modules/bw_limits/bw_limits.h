/// \file
/// Admission control: slots and request queue of a backend server at its owner,
/// the retry budget, request hedging, and rate limits of callers.
///
/// Depends on: bw_core.
#ifndef BW_LIMITS_BW_LIMITS_H
#define BW_LIMITS_BW_LIMITS_H

#include "bw_limits/budgets/hedge_policy.h"
#include "bw_limits/budgets/retry_budget.h"
#include "bw_limits/callers/caller_limiter.h"
#include "bw_limits/limits_error.h"
#include "bw_limits/slots/fair_queue.h"
#include "bw_limits/slots/service_time.h"
#include "bw_limits/slots/slot_queue.h"
#include "bw_limits/slots/slot_request.h"

#endif
