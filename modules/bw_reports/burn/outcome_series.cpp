#include "bw_reports/burn/outcome_series.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

using namespace bw;

namespace {

constexpr int RequestRefused = 1100;
constexpr int RequestAnswered = 1106;
constexpr int FirstServerError = 500;

std::string labelOf(const metric_sample &Sample, const std::string &Name) {
  const auto Found = Sample.Labels.find(Name);
  return Found == Sample.Labels.end() ? "" : Found->second;
}

} // namespace

void outcome_series::addPage(const metrics_page &Page) {
  double Time = 0;
  std::string Host;
  for (const metric_sample &Each : Page.Samples) {
    if (Each.Name == "bramleywinch_time_seconds")
      Time = Each.Value;
    if (Each.Name == "bramleywinch_build_info")
      Host = labelOf(Each, "host");
  }
  std::map<std::string, outcome_point> Added;
  for (const metric_sample &Each : Page.Samples) {
    if (Each.Name != "bramleywinch_requests_total")
      continue;
    const std::string Service = labelOf(Each, "service");
    const std::string Outcome = labelOf(Each, "outcome");
    last_value &Known = Last[fmt::format("{}\n{}\n{}", Host, Service, Outcome)];
    const double Grown =
        Each.Value >= Known.Value ? Each.Value - Known.Value : Each.Value;
    Known.Value = Each.Value;
    outcome_point &Point = Added[Service];
    if (Outcome == "served")
      Point.Good += Grown;
    else if (Outcome != "left")
      Point.Bad += Grown;
  }
  for (auto &[Service, Point] : Added) {
    Point.Time = Time;
    Points[Service].push_back(Point);
  }
  IsSorted = false;
}

void outcome_series::addLog(std::istream &Log) {
  // The line of an answer does not name the service; that of the first attempt
  // does.
  std::map<std::string, std::string> ServiceOf;
  for (std::string Line; std::getline(Log, Line);) {
    const auto Record = parseLogLine(Line);
    if (!Record)
      continue;
    const std::string Request = Record->field("request");
    const std::string Service = Record->field("service");
    if (!Service.empty() && !Request.empty())
      ServiceOf[Request] = Service;
    const bool IsAnswer = Record->Event == RequestAnswered;
    if (!IsAnswer && Record->Event != RequestRefused)
      continue;
    const auto Found = ServiceOf.find(Request);
    if (Found == ServiceOf.end())
      continue;
    const std::string Text = Record->field("status");
    int Status = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Status);
    const bool IsGood = IsAnswer && Status < FirstServerError;
    Points[Found->second].push_back({.Time = unixSeconds(*Record).value_or(0),
                                     .Good = IsGood ? 1.0 : 0.0,
                                     .Bad = IsGood ? 0.0 : 1.0});
    ServiceOf.erase(Found);
  }
  IsSorted = false;
}

const std::map<std::string, std::vector<outcome_point>> &
outcome_series::services() {
  if (!IsSorted)
    for (auto &[Service, List] : Points)
      std::stable_sort(
          List.begin(), List.end(),
          [](const outcome_point &Left, const outcome_point &Right) {
            return Left.Time < Right.Time;
          });
  IsSorted = true;
  return Points;
}
