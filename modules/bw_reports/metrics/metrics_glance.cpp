#include "bw_reports/metrics/metrics_glance.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bw;

namespace {

std::string labelOf(const metric_sample &Sample, const std::string &Name) {
  const auto Found = Sample.Labels.find(Name);
  return Found == Sample.Labels.end() ? "" : Found->second;
}

// Upper bound of the bucket in which the quantile lies; 0 without answers.
double quantile(const metrics_page &Page, const std::string &Service,
                double Share) {
  std::map<double, double> Buckets;
  for (const metric_sample &Each : Page.Samples) {
    if (Each.Name != "bramleywinch_request_duration_seconds_bucket" ||
        labelOf(Each, "service") != Service)
      continue;
    const std::string Bound = labelOf(Each, "le");
    if (Bound != "+Inf")
      Buckets[std::stod(Bound)] += Each.Value;
  }
  if (Buckets.empty() || Buckets.rbegin()->second == 0)
    return 0;
  const double Wanted = Share * Buckets.rbegin()->second;
  for (const auto &[Bound, Count] : Buckets)
    if (Count >= Wanted)
      return Bound;
  return Buckets.rbegin()->first;
}

// One line for each budget of the process, if it has any.
std::string budgetLines(const metrics_page &Page) {
  std::map<std::string, std::pair<double, double>> Budgets;
  std::string Closed;
  for (const metric_sample &Each : Page.Samples) {
    if (Each.Name == "bramleywinch_budget_used")
      Budgets[labelOf(Each, "budget")].first = Each.Value;
    else if (Each.Name == "bramleywinch_budget_peak")
      Budgets[labelOf(Each, "budget")].second = Each.Value;
    else if (Each.Name == "bramleywinch_callers_closed")
      Closed += fmt::format("  {} {:.0f}", labelOf(Each, "reason"), Each.Value);
  }
  if (Budgets.empty())
    return "";
  std::string Out =
      fmt::format("{:<20} {:>12} {:>12}\n", "budget", "used", "peak");
  for (const auto &[Name, Amount] : Budgets)
    Out += fmt::format("{:<20} {:>12.0f} {:>12.0f}\n", Name, Amount.first,
                       Amount.second);
  return Out + fmt::format("refused {:.0f}  callers closed:{}\n",
                           Page.sum("bramleywinch_requests_refused_by_budget"),
                           Closed);
}

} // namespace

std::string bw::glanceText(const metrics_page &Page) {
  std::string Out;
  for (const metric_sample &Each : Page.Samples)
    if (Each.Name == "bramleywinch_build_info")
      Out += fmt::format("host {} version {}\n", labelOf(Each, "host"),
                         labelOf(Each, "version"));
  Out += fmt::format(
      "ready {:.0f}  open requests {:.0f}  configuration {:.0f}  servers "
      "{:.0f}  hosts {:.0f}  list age {:.1f} s  log lines dropped {:.0f}\n",
      Page.sum("bramleywinch_ready"), Page.sum("bramleywinch_open_requests"),
      Page.sum("bramleywinch_configuration_version"),
      Page.sum("bramleywinch_servers_listed"),
      Page.sum("bramleywinch_hosts_listed"),
      Page.sum("bramleywinch_server_list_age_seconds"),
      Page.sum("bramleywinch_log_lines_dropped"));
  Out += budgetLines(Page);
  std::map<std::string, std::map<std::string, double>> Services;
  for (const metric_sample &Each : Page.Samples)
    if (Each.Name == "bramleywinch_requests_total")
      Services[labelOf(Each, "service")][labelOf(Each, "outcome")] = Each.Value;
  Out += fmt::format("{:<20} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8}\n", "service",
                     "served", "errors", "refused", "left", "p50 s", "p99 s");
  for (auto &[Service, Counts] : Services)
    Out += fmt::format(
        "{:<20} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f} {:>8} {:>8}\n",
        Service.empty() ? "(no route)" : Service, Counts["served"],
        Counts["server_error"], Counts["refused"], Counts["left"],
        quantile(Page, Service, 0.5), quantile(Page, Service, 0.99));
  return Out;
}

std::string bw::glanceJson(const metrics_page &Page) {
  nlohmann::json Result = nlohmann::json::array();
  for (const metric_sample &Each : Page.Samples)
    Result.push_back(
        {{"name", Each.Name}, {"labels", Each.Labels}, {"value", Each.Value}});
  return Result.dump(2) + "\n";
}
