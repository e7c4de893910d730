#include "bw_reports/metrics/metric_registry.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <optional>

using namespace bw;

namespace {

// Upper bounds in seconds: the targets of the two fleets lie between 0.3 and
// 1.5 s, their time-outs between 1 and 8 s.
const std::vector<double> DurationBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                            0.3,   0.4,  0.6,   0.8,  1,   1.5,
                                            2,     3,    4,     6,    8,   12};

using duration_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<>(DurationBounds)));

struct duration_series {
  duration_histogram Histogram = boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(DurationBounds));
  double Sum = 0;
  std::uint64_t Count = 0;
};

std::string escape(const std::string &Value) {
  std::string Result;
  for (const char Character : Value) {
    if (Character == '\\' || Character == '"')
      Result += '\\';
    if (Character == '\n')
      Result += "\\n";
    else
      Result += Character;
  }
  return Result;
}

std::string labelText(metric_labels Labels,
                      const std::optional<std::string> &Bound = {}) {
  if (Bound)
    Labels["le"] = *Bound;
  if (Labels.empty())
    return "";
  std::string Result;
  for (const auto &[Name, Value] : Labels)
    Result +=
        (Result.empty() ? "{" : ",") + Name + "=\"" + escape(Value) + "\"";
  return Result + "}";
}

} // namespace

struct metric_registry::implementation {
  mutable std::mutex Mutex;
  std::map<std::string, std::string> Helps;
  std::map<std::string, std::map<metric_labels, double>> Counters;
  std::map<std::string, std::map<metric_labels, duration_series>> Durations;
  std::map<std::string, std::map<metric_labels, std::function<double()>>>
      Gauges;

  void addHead(std::string &Out, const std::string &Name,
               const char *Type) const {
    const auto Help = Helps.find(Name);
    if (Help != Helps.end())
      Out += "# HELP " + Name + " " + Help->second + "\n";
    Out += "# TYPE " + Name + " " + Type + "\n";
  }
};

metric_registry::metric_registry()
    : Implementation(std::make_unique<implementation>()) {}

metric_registry::~metric_registry() = default;

void metric_registry::describe(const std::string &Name,
                               const std::string &Help) {
  const std::lock_guard Guard(Implementation->Mutex);
  Implementation->Helps[Name] = Help;
}

void metric_registry::count(const std::string &Name,
                            const metric_labels &Labels, double Amount) {
  const std::lock_guard Guard(Implementation->Mutex);
  Implementation->Counters[Name][Labels] += Amount;
}

void metric_registry::observe(const std::string &Name,
                              const metric_labels &Labels, double Seconds) {
  const std::lock_guard Guard(Implementation->Mutex);
  duration_series &Series = Implementation->Durations[Name][Labels];
  Series.Histogram(Seconds);
  Series.Sum += Seconds;
  ++Series.Count;
}

void metric_registry::addGauge(const std::string &Name,
                               const metric_labels &Labels,
                               std::function<double()> Value) {
  const std::lock_guard Guard(Implementation->Mutex);
  Implementation->Gauges[Name][Labels] = std::move(Value);
}

std::string metric_registry::text() const {
  const implementation &Self = *Implementation;
  const std::lock_guard Guard(Self.Mutex);
  std::string Out;
  for (const auto &[Name, Series] : Self.Counters) {
    Self.addHead(Out, Name, "counter");
    for (const auto &[Labels, Value] : Series)
      Out += fmt::format("{}{} {}\n", Name, labelText(Labels), Value);
  }
  for (const auto &[Name, Series] : Self.Gauges) {
    Self.addHead(Out, Name, "gauge");
    for (const auto &[Labels, Value] : Series)
      Out += fmt::format("{}{} {}\n", Name, labelText(Labels), Value());
  }
  for (const auto &[Name, Series] : Self.Durations) {
    Self.addHead(Out, Name, "histogram");
    for (const auto &[Labels, Value] : Series) {
      // The library counts what is below the first bound apart.
      double Below = Value.Histogram.at(-1);
      for (std::size_t Index = 0; Index < DurationBounds.size(); ++Index) {
        if (Index > 0)
          Below += Value.Histogram.at(static_cast<int>(Index) - 1);
        Out += fmt::format(
            "{}_bucket{} {}\n", Name,
            labelText(Labels, fmt::format("{}", DurationBounds[Index])), Below);
      }
      Out += fmt::format("{}_bucket{} {}\n", Name, labelText(Labels, "+Inf"),
                         Value.Count);
      Out += fmt::format("{}_sum{} {}\n", Name, labelText(Labels), Value.Sum);
      Out +=
          fmt::format("{}_count{} {}\n", Name, labelText(Labels), Value.Count);
    }
  }
  return Out;
}
