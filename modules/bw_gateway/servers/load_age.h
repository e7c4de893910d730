#ifndef BW_GATEWAY_SERVERS_LOAD_AGE_H
#define BW_GATEWAY_SERVERS_LOAD_AGE_H

#include "bw_core/ids/time.h"

#include <optional>

namespace bw {

/// How old the load that other hosts reported is, learned from the times
/// between the messages that contain it.
class load_age {
public:
  /// Records that a message with the load of other hosts has arrived.
  void recordMessage(time_point Now);
  /// Records at an aggregator that the report of one host has arrived.
  void recordReport(time_point Now);
  /// Returns when the last message arrived.
  time_point last() const { return At; }
  /// Returns the mean age of the known load: the time since the message, and
  /// that since the reports which it sums up.
  duration at(time_point Now) const;
  /// Returns the mean time of the reports that the last message sums up; no
  /// value before the first message.
  std::optional<time_point> reportedAt() const;
  /// Returns the time between two messages; zero before there were two.
  duration interval() const { return Interval; }

private:
  time_point At{};
  duration Interval{};
};

} // namespace bw

#endif
