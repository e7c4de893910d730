/// \file
/// Operators' calls and what they control: the configuration in the platform's
/// service, credentials, entitlement to records, confirmations and the audit
/// log. Storage is reached through the hooks of `object_store`.
///
/// Depends on: bw_core, bw_kernel, bw_schema, bw_platform.
#ifndef BW_OPERATIONS_BW_OPERATIONS_H
#define BW_OPERATIONS_BW_OPERATIONS_H

#include "bw_operations/audit/audit_buffer.h"
#include "bw_operations/audit/audit_line.h"
#include "bw_operations/audit/audit_replay.h"
#include "bw_operations/audit/audit_store.h"
#include "bw_operations/configuration/chunk_store.h"
#include "bw_operations/configuration/configuration_changes.h"
#include "bw_operations/configuration/configuration_store.h"
#include "bw_operations/confirmations/confirmation_store.h"
#include "bw_operations/credentials/credential_check.h"
#include "bw_operations/entitlement/entitlement_table.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_operations/rpc/call_errors.h"
#include "bw_operations/rpc/operator_rpc.h"

#endif
