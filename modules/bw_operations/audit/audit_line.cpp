#include "bw_operations/audit/audit_line.h"

#include "bw_schema/errors/declaration_error.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <optional>
#include <set>

using namespace bw;

namespace {

// Fields in their order on a line, after the time.
constexpr const char *Fields[] = {"host",  "incarnation", "sequence", "event",
                                  "actor", "order",       "record",   "detail"};
constexpr std::size_t TimeLength = 24;

// Latest time that has a year of four digits.
constexpr std::uint64_t MaxTime = 253'402'300'799'999;

std::string formatTime(std::uint64_t Milliseconds) {
  using namespace std::chrono;
  const milliseconds Total(std::min(Milliseconds, MaxTime));
  const sys_days Day(floor<days>(Total));
  const year_month_day Date(Day);
  const hh_mm_ss Time(Total - Day.time_since_epoch());
  char Text[48];
  std::snprintf(Text, sizeof Text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                int(Date.year()), unsigned(Date.month()), unsigned(Date.day()),
                int(Time.hours().count()), int(Time.minutes().count()),
                int(Time.seconds().count()), int(Time.subseconds().count()));
  return Text;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Error != std::errc() || Stop != End)
    return std::nullopt;
  return Number;
}

std::optional<std::uint64_t> parseTime(std::string_view Text) {
  using namespace std::chrono;
  constexpr std::string_view Shape = "0000-00-00T00:00:00.000Z";
  if (Text.size() != Shape.size())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Shape.size(); ++Index) {
    const bool IsDigit = Text[Index] >= '0' && Text[Index] <= '9';
    if (Shape[Index] == '0' ? !IsDigit : Text[Index] != Shape[Index])
      return std::nullopt;
  }
  const auto Part = [&](std::size_t Start, std::size_t Length) {
    return int(*parseNumber(Text.substr(Start, Length)));
  };
  const year_month_day Date{year(Part(0, 4)), month(unsigned(Part(5, 2))),
                            day(unsigned(Part(8, 2)))};
  const bool IsTime = Part(11, 2) < 24 && Part(14, 2) < 60 && Part(17, 2) < 60;
  if (!Date.ok() || !IsTime || Date.year() < year(1970))
    return std::nullopt;
  const milliseconds Total = sys_days(Date).time_since_epoch() +
                             hours(Part(11, 2)) + minutes(Part(14, 2)) +
                             seconds(Part(17, 2)) + milliseconds(Part(20, 3));
  return std::uint64_t(Total.count());
}

bool isPlain(unsigned char Character) {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') || Character == '.' ||
         Character == '_' || Character == '-' || Character == ':' ||
         Character == '/';
}

// Escapes all that could forge a second entry.
std::string formatValue(const std::string &Value) {
  if (std::all_of(Value.begin(), Value.end(), isPlain))
    return Value;
  std::string Result = "\"";
  for (const unsigned char Character : Value) {
    char Escaped[8];
    if (Character == '"' || Character == '\\')
      std::snprintf(Escaped, sizeof Escaped, "\\%c", Character);
    else if (Character < ' ' || Character >= 0x7f)
      std::snprintf(Escaped, sizeof Escaped, "\\x%02x", Character);
    else
      std::snprintf(Escaped, sizeof Escaped, "%c", Character);
    Result += Escaped;
  }
  return Result + "\"";
}

std::string fieldText(const schema::audit_entry &Entry,
                      std::string_view Field) {
  if (Field == "host")
    return Entry.host();
  if (Field == "incarnation")
    return std::to_string(Entry.incarnation());
  if (Field == "sequence")
    return std::to_string(Entry.sequence());
  if (Field == "event")
    return schema::audit_entry::audit_event_Name(Entry.event());
  if (Field == "actor")
    return Entry.actor();
  if (Field == "order")
    return Entry.order();
  return Field == "record" ? Entry.record() : Entry.detail();
}

class line_parser {
public:
  line_parser(const std::string &Text, const std::string &File, int Line)
      : Text(Text), File(File), Line(Line) {}

  schema::audit_entry parse() {
    const auto Time = parseTime(std::string_view(Text).substr(0, TimeLength));
    if (!Time)
      fail("(time)", "must be a time as in 2026-01-31T12:00:00.000Z");
    Entry.set_at_ms(*Time);
    Position = TimeLength;
    while (Position < Text.size())
      parseField();
    for (const char *Required : {"host", "incarnation", "sequence", "event"})
      if (!Seen.contains(Required))
        fail(Required, "is missing");
    return Entry;
  }

private:
  [[noreturn]] void fail(const std::string &Field, const std::string &Reason) {
    throw declaration_error(
        {{.File = File, .Line = Line, .Field = Field, .Reason = Reason}});
  }

  void parseField() {
    if (Text[Position] != ' ')
      fail("(syntax)", "a space must separate fields");
    const std::size_t Equals = Text.find('=', Position);
    if (Equals == std::string::npos)
      fail("(syntax)", "a field must have the form name=value");
    const std::string Field = Text.substr(Position + 1, Equals - Position - 1);
    Position = Equals + 1;
    const std::string Value = parseValue(Field);
    if (!Seen.insert(Field).second)
      fail(printable(Field), "is given twice");
    set(Field, Value);
  }

  std::string parseValue(const std::string &Field) {
    if (Position < Text.size() && Text[Position] == '"')
      return parseQuoted(Field);
    const std::size_t Start = Position;
    while (Position < Text.size() && isPlain(Text[Position]))
      ++Position;
    return Text.substr(Start, Position - Start);
  }

  std::string parseQuoted(const std::string &Field) {
    std::string Value;
    for (++Position; Position < Text.size(); ++Position) {
      const char Character = Text[Position];
      if (Character == '"') {
        ++Position;
        return Value;
      }
      Value += Character == '\\' ? parseEscape(Field) : Character;
    }
    fail(printable(Field), "has no closing quote");
  }

  // Leaves the position at the last character of the escape.
  char parseEscape(const std::string &Field) {
    const std::string_view Rest = std::string_view(Text).substr(Position + 1);
    if (Rest.starts_with('"') || Rest.starts_with('\\')) {
      ++Position;
      return Rest[0];
    }
    unsigned Number = 0;
    const std::string_view Digits =
        Rest.starts_with('x') ? Rest.substr(1, 2) : std::string_view();
    const char *End = Digits.data() + Digits.size();
    const auto [Stop, Error] = std::from_chars(Digits.data(), End, Number, 16);
    if (Digits.size() != 2 || Error != std::errc() || Stop != End)
      fail(printable(Field), "holds an unknown escape");
    Position += 3;
    return static_cast<char>(Number);
  }

  std::uint64_t number(const std::string &Field, const std::string &Value) {
    const auto Number = parseNumber(Value);
    if (!Number)
      fail(Field, "must be a whole number");
    return *Number;
  }

  void set(const std::string &Field, const std::string &Value) {
    if (Field == "host")
      Entry.set_host(Value);
    else if (Field == "incarnation")
      Entry.set_incarnation(number(Field, Value));
    else if (Field == "sequence")
      Entry.set_sequence(number(Field, Value));
    else if (Field == "event")
      setEvent(Value);
    else if (Field == "actor")
      Entry.set_actor(Value);
    else if (Field == "order")
      Entry.set_order(Value);
    else if (Field == "record")
      Entry.set_record(Value);
    else if (Field == "detail")
      Entry.set_detail(Value);
    else
      fail(printable(Field), "is not a known field");
  }

  void setEvent(const std::string &Value) {
    schema::audit_entry::audit_event Event{};
    const bool IsKnown =
        schema::audit_entry::audit_event_Parse(Value, &Event) &&
        Event != schema::audit_entry::audit_event_unspecified;
    if (!IsKnown)
      fail("event", "'" + printable(Value) + "' is not a known event");
    Entry.set_event(Event);
  }

  const std::string &Text;
  const std::string &File;
  int Line;
  std::size_t Position = 0;
  std::set<std::string> Seen;
  schema::audit_entry Entry;
};

} // namespace

std::string bw::formatAuditLine(const schema::audit_entry &Entry) {
  std::string Result = formatTime(Entry.at_ms());
  for (const char *Field : Fields) {
    const std::string Value = fieldText(Entry, Field);
    if (!Value.empty())
      Result += " " + std::string(Field) + "=" + formatValue(Value);
  }
  return Result;
}

schema::audit_entry bw::parseAuditLine(const std::string &Text,
                                       const std::string &File, int Line) {
  return line_parser(Text, File, Line).parse();
}

std::vector<schema::audit_entry> bw::parseAuditLines(const std::string &Text,
                                                     const std::string &File) {
  std::vector<schema::audit_entry> Result;
  int Line = 0;
  for (std::size_t Start = 0; Start < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Start), Text.size());
    ++Line;
    if (End > Start)
      Result.push_back(
          parseAuditLine(Text.substr(Start, End - Start), File, Line));
    Start = End + 1;
  }
  return Result;
}
