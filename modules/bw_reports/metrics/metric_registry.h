#ifndef BW_REPORTS_METRICS_METRIC_REGISTRY_H
#define BW_REPORTS_METRICS_METRIC_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bw {

/// Label names and values of one series, in the order of the names.
using metric_labels = std::map<std::string, std::string>;

/// Metrics of a program. Series are made when they are first touched.
/// Thread-safe.
class metric_registry {
public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry &) = delete;
  metric_registry &operator=(const metric_registry &) = delete;

  /// Help texts of the families; call before the first use.
  void describe(const std::string &Name, const std::string &Help);

  /// Names of counters end in `_total`.
  void count(const std::string &Name, const metric_labels &Labels,
             double Amount = 1);
  /// Names of durations end in `_seconds`.
  void observe(const std::string &Name, const metric_labels &Labels,
               double Seconds);
  /// The hook gives the value when the text is asked for; it must be
  /// thread-safe and must not call the registry.
  void addGauge(const std::string &Name, const metric_labels &Labels,
                std::function<double()> Value);

  /// Prometheus text format, version 0.0.4.
  std::string text() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
