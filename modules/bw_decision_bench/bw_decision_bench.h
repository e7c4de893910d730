/// \file
/// Benchmark of the decision modules at growing fleet sizes: time and memory
/// for each decision, and for each host, backend server, route and caller held.
/// Memory is counted by replaced global `operator new` and `operator delete`.
///
/// Depends on: bw_core, bw_detection, bw_limits, bw_routing.
#ifndef BW_DECISION_BENCH_BW_DECISION_BENCH_H
#define BW_DECISION_BENCH_BW_DECISION_BENCH_H

#include "bw_decision_bench/benches/decision_benchmark.h"
#include "bw_decision_bench/figures/figure_writer.h"
#include "bw_decision_bench/fleet/fleet.h"
#include "bw_decision_bench/memory/allocation_counter.h"

#endif
