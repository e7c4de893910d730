#include "bw_load/report/latency_report.h"

#include <fmt/format.h>

using namespace bw;

namespace {

// ln(1e8) / ln(1.02) bands between 1 us and 100 s.
constexpr unsigned BandCount = 931;
constexpr double LeastMicroseconds = 1;
constexpr double MostMicroseconds = 1e8;

double microseconds(duration Time) {
  return std::chrono::duration<double, std::micro>(Time).count();
}

} // namespace

latency_report::latency_report()
    : Latencies(boost::histogram::make_histogram(
          axis(BandCount, LeastMicroseconds, MostMicroseconds))) {}

void latency_report::add(duration Latency, bool IsSuccess) {
  if (!IsSuccess) {
    ++Failed;
    return;
  }
  ++Succeeded;
  Latencies(microseconds(Latency));
}

duration latency_report::quantile(double Share) const {
  const double Wanted = Share * static_cast<double>(Succeeded);
  double Seen = 0;
  for (const auto &Band :
       boost::histogram::indexed(Latencies, boost::histogram::coverage::all)) {
    Seen += static_cast<double>(*Band);
    if (Seen >= Wanted && Seen > 0)
      return std::chrono::nanoseconds(
          static_cast<std::int64_t>(Band.bin().upper() * 1e3));
  }
  return duration(0);
}

std::string latency_report::text(const std::string &Prefix,
                                 duration Elapsed) const {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  std::string Result;
  const auto Line = [&](const char *Name, double Value, const char *Unit) {
    Result += fmt::format("{}.{} {:.3f} {}\n", Prefix, Name, Value, Unit);
  };
  Line("p50_ms", microseconds(quantile(0.5)) / 1e3, "ms");
  Line("p99_ms", microseconds(quantile(0.99)) / 1e3, "ms");
  Line("p999_ms", microseconds(quantile(0.999)) / 1e3, "ms");
  Line("succeeded", static_cast<double>(Succeeded), "requests");
  Line("failed", static_cast<double>(Failed), "requests");
  Line("unsent", static_cast<double>(Unsent), "requests");
  Line("rate", static_cast<double>(Succeeded) / Seconds, "requests/s");
  return Result;
}
