#ifndef BW_REPORTS_METRICS_METRICS_GLANCE_H
#define BW_REPORTS_METRICS_METRICS_GLANCE_H

#include "bw_reports/metrics/metrics_text.h"

#include <string>

namespace bw {

/// The most telling numbers of a daemon's metrics page, for a person.
std::string glanceText(const metrics_page &Page);
/// All samples as one JSON array.
std::string glanceJson(const metrics_page &Page);

} // namespace bw

#endif
