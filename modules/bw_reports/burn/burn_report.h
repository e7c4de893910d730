#ifndef BW_REPORTS_BURN_BURN_REPORT_H
#define BW_REPORTS_BURN_BURN_REPORT_H

#include "bw_reports/burn/outcome_series.h"

#include <string>
#include <vector>

namespace bw {

/// An alert of a long and a short window, which both must burn faster than the
/// factor: the long one shows that it matters, the short one that it goes on.
struct burn_window {
  std::string Name;
  /// Seconds.
  double Long = 0;
  double Short = 0;
  /// Multiple of the rate at which the whole budget lasts for its period.
  double Factor = 1;
};

struct burn_options {
  /// Share of requests that shall be served.
  double Objective = 0.99;
  /// The usual windows of a budget for 30 days.
  std::vector<burn_window> Windows = {
      {.Name = "page, 1 h", .Long = 3600, .Short = 300, .Factor = 14.4},
      {.Name = "page, 6 h", .Long = 21'600, .Short = 1800, .Factor = 6},
      {.Name = "ticket, 3 d", .Long = 259'200, .Short = 21'600, .Factor = 1}};
};

struct window_burn {
  burn_window Window;
  double LongRate = 0;
  double ShortRate = 0;
  bool IsAlert = false;
  /// The outcomes cover less than the long window.
  bool IsPartial = false;
};

struct service_burn {
  std::string Service;
  double Good = 0;
  double Bad = 0;
  /// Part of the budget of all its requests that is spent; above 1: exceeded.
  double BudgetSpent = 0;
  std::vector<window_burn> Windows;
};

/// Burn rates at the end of the series.
std::vector<service_burn> burnReport(outcome_series &Series,
                                     const burn_options &Options);

/// The report as a table for a terminal.
std::string burnTable(const std::vector<service_burn> &Report,
                      const burn_options &Options);

} // namespace bw

#endif
