#ifndef BW_OPERATIONS_AUDIT_AUDIT_LINE_H
#define BW_OPERATIONS_AUDIT_AUDIT_LINE_H

#include "bw_schema/bramleywinch.pb.h"

#include <string>
#include <vector>

namespace bw {

/// One line of the audit export, without its line break. The format is stated
/// in docs/audit-format.md.
std::string formatAuditLine(const schema::audit_entry &Entry);

/// Reads a line back. `File` and `Line` stand in errors.
/// \throws declaration_error
schema::audit_entry parseAuditLine(const std::string &Text,
                                   const std::string &File, int Line);

/// Reads a whole export. Empty lines are left out.
/// \throws declaration_error at the first bad line
std::vector<schema::audit_entry> parseAuditLines(const std::string &Text,
                                                 const std::string &File);

} // namespace bw

#endif
