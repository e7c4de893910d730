/// \file
/// The micro-kernel: starts and stops services and keeps their registry by
/// name, owns the clock, the bounded rings that join threads, the settings
/// reader and the catalogue of log events.
///
/// Depends on: bw_core.
#ifndef BW_KERNEL_BW_KERNEL_H
#define BW_KERNEL_BW_KERNEL_H

#include "bw_kernel/clock/runtime_clock.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/rings/bounded_ring.h"
#include "bw_kernel/services/kernel.h"
#include "bw_kernel/services/service.h"
#include "bw_kernel/services/service_registry.h"
#include "bw_kernel/settings/settings_error.h"
#include "bw_kernel/settings/settings_reader.h"

#endif
