/// \file
/// Limits on what one process holds for its callers and servers: connections,
/// requests and bytes. The logic takes typed values and the current time; it
/// does no I/O.
///
/// Depends on: bw_core.
#ifndef BW_RESOURCES_BW_RESOURCES_H
#define BW_RESOURCES_BW_RESOURCES_H

#include "bw_resources/budget/budget_options.h"
#include "bw_resources/budget/close_reason.h"
#include "bw_resources/budget/process_budget.h"

#endif
