#ifndef BW_REPORTS_METRICS_METRICS_TEXT_H
#define BW_REPORTS_METRICS_METRICS_TEXT_H

#include "bw_reports/metrics/metric_registry.h"

#include <string>
#include <string_view>
#include <vector>

namespace bw {

/// One series of a metrics page.
struct metric_sample {
  std::string Name;
  metric_labels Labels;
  double Value = 0;
};

struct metrics_page {
  std::vector<metric_sample> Samples;
  /// Numbers of the lines that could not be read, from 1.
  std::vector<std::size_t> BadLines;

  /// Value of a series without regard to labels: the sum of all its samples.
  double sum(std::string_view Name) const;
};

/// Reads Prometheus text; lines that cannot be read are skipped and named.
metrics_page parseMetrics(std::string_view Text);

} // namespace bw

#endif
