#ifndef BW_OPERATIONS_RPC_CALL_ERRORS_H
#define BW_OPERATIONS_RPC_CALL_ERRORS_H

#include "bw_operations/rpc/operator_rpc.h"
#include "bw_schema/errors/field_fault.h"

#include <string>
#include <vector>

namespace bw {

/// Replies of calls that failed, each a `call_error` with its HTTP status.
rpc_reply invalidReply(int Status, const std::vector<field_fault> &Faults);
rpc_reply conflictReply(config_version Expected,
                        const schema::applied_change &Winner);
rpc_reply unknownReply(const std::string &Change);
rpc_reply unavailableReply();
rpc_reply refusedReply(int Status, const std::string &Code,
                       const std::string &Reason);
/// A fault of this system or of what it has stored (HTTP 500).
rpc_reply internalReply(const std::string &Code, const std::string &Text);

} // namespace bw

#endif
