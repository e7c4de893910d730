#ifndef BW_REPORTS_LOGS_LOG_RECORD_H
#define BW_REPORTS_LOGS_LOG_RECORD_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bw {

/// One line of a daemon's log.
struct log_record {
  /// UTC, as `2026-08-08T15:12:15.063Z`; sorts as text.
  std::string Time;
  std::string Host;
  /// Number of the event, for example 1106.
  int Event = 0;
  /// Name of the event.
  std::string Name;
  std::map<std::string, std::string> Fields;

  /// Empty when the line has no such field.
  std::string field(const std::string &Key) const;
};

/// Reads one line. What stands before the time is skipped, since collectors
/// add columns of their own. Nothing when it is no line of a daemon.
std::optional<log_record> parseLogLine(std::string_view Line);

/// Unix time of a record in seconds. Nothing when its time is malformed.
std::optional<double> unixSeconds(const log_record &Record);

} // namespace bw

#endif
