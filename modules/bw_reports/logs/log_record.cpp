#include "bw_reports/logs/log_record.h"

#include <charconv>
#include <cstdio>
#include <ctime>

using namespace bw;

namespace {

// `key=value` or `key="value with \"escapes\""`.
bool takeField(std::string_view &Text, std::string &Key, std::string &Value) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  const std::size_t Equals = Text.find('=');
  if (Equals == Text.npos || Equals == 0)
    return false;
  Key = Text.substr(0, Equals);
  Text.remove_prefix(Equals + 1);
  Value.clear();
  if (Text.empty() || Text.front() != '"') {
    const std::size_t End = std::min(Text.find(' '), Text.size());
    Value = Text.substr(0, End);
    Text.remove_prefix(End);
    return true;
  }
  Text.remove_prefix(1);
  while (!Text.empty() && Text.front() != '"') {
    if (Text.front() == '\\' && Text.size() > 1)
      Text.remove_prefix(1);
    Value += Text.front();
    Text.remove_prefix(1);
  }
  if (Text.empty())
    return false;
  Text.remove_prefix(1);
  return true;
}

bool looksLikeTime(std::string_view Word) {
  constexpr std::size_t Length = 24;
  return Word.size() == Length && Word[4] == '-' && Word[10] == 'T' &&
         Word.back() == 'Z';
}

} // namespace

std::string log_record::field(const std::string &Key) const {
  const auto Found = Fields.find(Key);
  return Found == Fields.end() ? "" : Found->second;
}

std::optional<log_record> bw::parseLogLine(std::string_view Line) {
  const std::size_t Host = Line.find(" host=");
  if (Host == Line.npos)
    return std::nullopt;
  const std::size_t Before = Line.rfind(' ', Host - 1);
  const std::size_t TimeStart = Before == Line.npos ? 0 : Before + 1;
  log_record Result;
  Result.Time = Line.substr(TimeStart, Host - TimeStart);
  if (!looksLikeTime(Result.Time))
    return std::nullopt;
  std::string_view Rest = Line.substr(Host + 1);
  std::string Key;
  if (!takeField(Rest, Key, Result.Host))
    return std::nullopt;
  constexpr std::string_view Mark = " BW";
  if (!Rest.starts_with(Mark))
    return std::nullopt;
  Rest.remove_prefix(Mark.size());
  const auto [End, Error] =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Result.Event);
  if (Error != std::errc())
    return std::nullopt;
  Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()));
  if (Rest.empty() || Rest.front() != ' ')
    return std::nullopt;
  Rest.remove_prefix(1);
  const std::size_t NameEnd = std::min(Rest.find(' '), Rest.size());
  Result.Name = Rest.substr(0, NameEnd);
  Rest.remove_prefix(NameEnd);
  while (Rest.find_first_not_of(' ') != Rest.npos) {
    std::string Value;
    if (!takeField(Rest, Key, Value))
      return std::nullopt;
    Result.Fields[Key] = std::move(Value);
  }
  return Result;
}

std::optional<double> bw::unixSeconds(const log_record &Record) {
  std::tm Utc{};
  int Milliseconds = 0;
  if (std::sscanf(Record.Time.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &Utc.tm_year,
                  &Utc.tm_mon, &Utc.tm_mday, &Utc.tm_hour, &Utc.tm_min,
                  &Utc.tm_sec, &Milliseconds) != 7)
    return std::nullopt;
  constexpr int FirstYear = 1900;
  constexpr double PerSecond = 1000;
  Utc.tm_year -= FirstYear;
  Utc.tm_mon -= 1;
  return double(::timegm(&Utc)) + Milliseconds / PerSecond;
}
