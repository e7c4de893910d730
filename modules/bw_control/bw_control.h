/// \file
/// The operators' program `bwctl`: command line, calls to a daemon, output and
/// exit codes. All of it runs without sockets when its hooks are replaced.
///
/// Depends on: bw_core, bw_kernel, bw_schema, bw_http, bw_platform,
/// bw_operations, bw_reports.
#ifndef BW_CONTROL_BW_CONTROL_H
#define BW_CONTROL_BW_CONTROL_H

#include "bw_control/client/control_error.h"
#include "bw_control/client/operator_client.h"
#include "bw_control/command_line/command_line.h"
#include "bw_control/commands/control_program.h"
#include "bw_control/output/output_text.h"

#endif
