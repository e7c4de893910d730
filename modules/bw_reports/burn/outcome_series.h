#ifndef BW_REPORTS_BURN_OUTCOME_SERIES_H
#define BW_REPORTS_BURN_OUTCOME_SERIES_H

#include "bw_reports/logs/log_record.h"
#include "bw_reports/metrics/metrics_text.h"

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace bw {

/// Good and bad outcomes of a service up to a time, since any earlier point.
struct outcome_point {
  /// Unix seconds.
  double Time = 0;
  double Good = 0;
  double Bad = 0;
};

/// Outcomes of services over time, from metrics pages or from logs.
class outcome_series {
public:
  /// A metrics page of one host; pages of a host must come in time order.
  /// Counters that fall back show a restart.
  void addPage(const metrics_page &Page);

  /// The log of a host: one outcome for each answered or refused request.
  void addLog(std::istream &Log);

  /// By service, in time order.
  const std::map<std::string, std::vector<outcome_point>> &services();

private:
  struct last_value {
    double Value = 0;
  };

  std::map<std::string, std::vector<outcome_point>> Points;
  /// By host, service and outcome.
  std::map<std::string, last_value> Last;
  bool IsSorted = true;
};

} // namespace bw

#endif
