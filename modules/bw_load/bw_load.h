/// \file
/// Open-loop load over HTTP: requests start at a fixed rate whatever the
/// answers do, and latency counts from the time at which a request was due, so
/// that a stalled server is not hidden by a client that waits for it. Also
/// bursts, which send many requests at once over pipelined connections.
///
/// Depends on: bw_core, bw_kernel, bw_http, bw_forward.
#ifndef BW_LOAD_BW_LOAD_H
#define BW_LOAD_BW_LOAD_H

#include "bw_load/burst/burst_load.h"
#include "bw_load/generator/load_generator.h"
#include "bw_load/report/latency_report.h"

#endif
