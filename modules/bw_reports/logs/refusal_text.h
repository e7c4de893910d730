#ifndef BW_REPORTS_LOGS_REFUSAL_TEXT_H
#define BW_REPORTS_LOGS_REFUSAL_TEXT_H

#include "bw_reports/logs/log_record.h"

#include <string>

namespace bw {

/// Explains a `request_refused` line: status, cause, and what it says of the
/// customer or its key. Empty for a reason that is not known here.
std::string refusalText(const log_record &Refused);

} // namespace bw

#endif
