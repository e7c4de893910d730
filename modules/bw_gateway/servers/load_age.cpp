#include "bw_gateway/servers/load_age.h"

using namespace bw;

namespace {

// The parts of a long message follow each other at once.
constexpr duration MinInterval = std::chrono::milliseconds(10);
// A longer pause is an outage of the reports or a time without load.
constexpr duration MaxInterval = std::chrono::seconds(1);
// Interval in which a host reports its load.
constexpr duration ReportInterval = std::chrono::milliseconds(80);
constexpr double Smoothing = 0.2;

} // namespace

void load_age::recordMessage(time_point Now) {
  const duration Gap = Now - At;
  if (At != time_point() && Gap < MinInterval)
    return;
  At = Now;
  if (Gap > MaxInterval)
    return;
  Interval +=
      Interval == duration()
          ? Gap
          : std::chrono::duration_cast<duration>(Smoothing * (Gap - Interval));
}

// The reports of many hosts arrive at any time, each as often as messages do.
void load_age::recordReport(time_point Now) {
  if (Now - At >= ReportInterval)
    recordMessage(Now);
}

// Hosts report at most one interval before the message, on average half of one;
// an aggregator, which receives no such message, adds the reports at once.
duration load_age::at(time_point Now) const {
  const std::optional<time_point> Reported = reportedAt();
  return Reported ? Now - *Reported : Interval;
}

std::optional<time_point> load_age::reportedAt() const {
  return At == time_point() ? std::nullopt : std::optional(At - Interval / 2);
}
