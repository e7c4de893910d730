#include "bw_reports/metrics/metrics_text.h"

#include <charconv>
#include <limits>
#include <optional>

using namespace bw;

namespace {

std::optional<double> parseNumber(std::string_view Text) {
  if (Text == "+Inf")
    return std::numeric_limits<double>::infinity();
  double Result = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Result;
}

// Takes `name="value"` pairs up to the closing brace off the text.
bool parseLabels(std::string_view &Text, metric_labels &Labels) {
  while (!Text.empty()) {
    if (Text.front() == '}') {
      Text.remove_prefix(1);
      return true;
    }
    if (Text.front() == ',')
      Text.remove_prefix(1);
    const std::size_t Equals = Text.find("=\"");
    if (Equals == Text.npos)
      return false;
    const std::string Name(Text.substr(0, Equals));
    Text.remove_prefix(Equals + 2);
    std::string Value;
    while (!Text.empty() && Text.front() != '"') {
      if (Text.front() == '\\' && Text.size() > 1)
        Text.remove_prefix(1);
      Value += Text.front();
      Text.remove_prefix(1);
    }
    if (Text.empty())
      return false;
    Text.remove_prefix(1);
    Labels[Name] = std::move(Value);
  }
  return false;
}

std::optional<metric_sample> parseSample(std::string_view Line) {
  metric_sample Result;
  const std::size_t End = Line.find_first_of("{ ");
  if (End == Line.npos || End == 0)
    return std::nullopt;
  Result.Name = Line.substr(0, End);
  Line.remove_prefix(End);
  if (Line.front() == '{') {
    Line.remove_prefix(1);
    if (!parseLabels(Line, Result.Labels))
      return std::nullopt;
  }
  if (Line.empty() || Line.front() != ' ')
    return std::nullopt;
  Line.remove_prefix(1);
  const auto Value = parseNumber(Line.substr(0, Line.find(' ')));
  if (!Value)
    return std::nullopt;
  Result.Value = *Value;
  return Result;
}

} // namespace

double metrics_page::sum(std::string_view Name) const {
  double Result = 0;
  for (const metric_sample &Each : Samples)
    if (Each.Name == Name)
      Result += Each.Value;
  return Result;
}

metrics_page bw::parseMetrics(std::string_view Text) {
  metrics_page Result;
  for (std::size_t Number = 1; !Text.empty(); ++Number) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.empty() || Line.front() == '#')
      continue;
    if (auto Sample = parseSample(Line))
      Result.Samples.push_back(std::move(*Sample));
    else
      Result.BadLines.push_back(Number);
  }
  return Result;
}
