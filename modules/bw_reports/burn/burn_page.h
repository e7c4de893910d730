#ifndef BW_REPORTS_BURN_BURN_PAGE_H
#define BW_REPORTS_BURN_BURN_PAGE_H

#include "bw_reports/burn/burn_report.h"

#include <string>

namespace bw {

/// The report as one HTML page without anything from elsewhere: the table, and
/// for each service a plot of the share of requests that were not served.
std::string burnPage(outcome_series &Series,
                     const std::vector<service_burn> &Report,
                     const burn_options &Options);

} // namespace bw

#endif
