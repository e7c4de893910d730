#ifndef BW_REPORTS_LOGS_REQUEST_STORY_H
#define BW_REPORTS_LOGS_REQUEST_STORY_H

#include "bw_reports/logs/log_record.h"

#include <cstddef>
#include <istream>
#include <set>
#include <string>
#include <vector>

namespace bw {

/// A line that was skipped.
struct unreadable_line {
  std::string File;
  std::size_t Line = 0;
};

/// What the logs of any number of hosts say of one request, in time order, and
/// what changed meanwhile at the servers and hosts that it met.
class request_story {
public:
  explicit request_story(std::string Request) : Request(std::move(Request)) {}

  /// Reads one log. Lines that cannot be read are skipped and remembered.
  void read(std::istream &Log, const std::string &FileName);

  /// The request's own lines.
  std::vector<log_record> steps() const;
  /// What the hosts that handled it said of themselves and of the servers that
  /// it was sent to, from ten seconds before its first line to its last.
  std::vector<log_record> circumstances() const;
  const std::vector<unreadable_line> &unreadable() const { return Unreadable; }

  /// What became of it; for a refusal with its cause on a second line.
  std::string conclusion() const;

private:
  std::string Request;
  std::vector<log_record> Own;
  /// All lines that are not about single requests.
  std::vector<log_record> Others;
  std::vector<unreadable_line> Unreadable;
};

/// The story as text for a person.
std::string storyText(const request_story &Story);
/// The story as one JSON object.
std::string storyJson(const request_story &Story);

} // namespace bw

#endif
