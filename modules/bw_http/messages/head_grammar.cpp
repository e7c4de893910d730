#include "bw_http/messages/head_grammar.h"

#include <algorithm>
#include <charconv>

using namespace bw;

namespace {

constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::uint8_t StatusDigits = 3;
constexpr int SwitchingProtocols = 101;

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isTokenCharacter(char Character) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return isDigit(Character) || (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         Symbols.find(Character) != Symbols.npos;
}

// Decimal digits that fit into 64 bits.
bool isLength(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Number);
  return Code == std::errc() && Stop == End;
}

} // namespace

bool bw::isTextCharacter(char Character) {
  constexpr unsigned char Delete = 0x7f;
  const auto Byte = static_cast<unsigned char>(Character);
  return (Byte >= ' ' && Byte != Delete) || Byte == '\t';
}

head_grammar::head_grammar(head_start Start)
    : Place(Start == head_start::StatusLine    ? place::Version
            : Start == head_start::RequestLine ? place::BeforeRequest
                                               : place::LineStart) {}

std::size_t head_grammar::feed(std::string_view Bytes) {
  std::size_t Taken = 0;
  while (Taken < Bytes.size() && state() == head_state::Incomplete)
    Place = next(Bytes[Taken++]);
  return Taken;
}

head_state head_grammar::state() const {
  switch (Place) {
  case place::Complete:
    return head_state::Complete;
  case place::Malformed:
    return head_state::Malformed;
  default:
    return head_state::Incomplete;
  }
}

head_grammar::place head_grammar::next(char Character) {
  // The end of a line whose content may end here.
  const auto EndOr = [Character](place Other) {
    return Character == '\r'   ? place::LineEnd
           : Character == '\n' ? place::LineStart
                               : Other;
  };
  switch (Place) {
  case place::Version:
  case place::MinorVersion:
  case place::BeforeStatus:
  case place::Status:
    return nextInStatus(Character);
  case place::AfterStatus:
    return EndOr(Character == ' ' ? place::Reason : place::Malformed);
  case place::Reason:
  case place::Value:
    return EndOr(isTextCharacter(Character) ? Place : place::Malformed);
  case place::BeforeRequest:
    // Servers ignore empty lines before a request (RFC 9112, 2.2).
    return Character == '\r' || Character == '\n' ? Place : place::RequestLine;
  case place::RequestLine:
    return EndOr(Place);
  case place::LineStart:
    // A line that starts with a blank would continue the one before, which only
    // obsolete senders do (RFC 9112, 5.2).
    if (Character == '\r')
      return place::HeadEnd;
    if (Character == '\n')
      return place::Complete;
    return isTokenCharacter(Character) ? place::Name : place::Malformed;
  case place::Name:
    if (Character == ':')
      return place::Value;
    return isTokenCharacter(Character) ? Place : place::Malformed;
  case place::LineEnd:
    return Character == '\n' ? place::LineStart : place::Malformed;
  case place::HeadEnd:
    return Character == '\n' ? place::Complete : place::Malformed;
  case place::Complete:
  case place::Malformed:
    break;
  }
  return Place;
}

head_grammar::place head_grammar::nextInStatus(char Character) {
  if (Place == place::Version) {
    if (Character != VersionStart[Count])
      return place::Malformed;
    return ++Count == VersionStart.size() ? place::MinorVersion : Place;
  }
  if (Place == place::MinorVersion)
    return isDigit(Character) ? place::BeforeStatus : place::Malformed;
  if (Place == place::BeforeStatus) {
    Count = 0;
    return Character == ' ' ? place::Status : place::Malformed;
  }
  // Only the classes 1 to 5 exist (RFC 9110, 15).
  const bool IsFirst = Count == 0;
  if (!isDigit(Character) || (IsFirst && (Character < '1' || Character > '5')))
    return place::Malformed;
  constexpr int Decimal = 10;
  Status = Status * Decimal + (Character - '0');
  if (++Count < StatusDigits)
    return Place;
  // No request asks for another protocol, so none is switched to.
  return Status == SwitchingProtocols ? place::Malformed : place::AfterStatus;
}

std::optional<std::string_view>
bw::findFramingFault(const http_headers &Headers, bool IsHttp10) {
  std::size_t Lengths = 0;
  std::size_t Codings = 0;
  for (const http_header &Field : Headers.fields()) {
    if (equalsIgnoringCase(Field.Name, "Content-Length")) {
      ++Lengths;
      if (!isLength(Field.Value))
        return "the length is not a number";
    } else if (equalsIgnoringCase(Field.Name, "Transfer-Encoding")) {
      ++Codings;
      if (!equalsIgnoringCase(Field.Value, "chunked"))
        return "the transfer coding is unknown";
    }
  }
  if (Lengths > 1 || Codings > 1 || (Lengths > 0 && Codings > 0))
    return "the length of the body is ambiguous";
  if (Codings > 0 && IsHttp10)
    return "HTTP/1.0 has no transfer codings";
  return std::nullopt;
}

bool bw::isFieldValue(std::string_view Text) {
  return trimFieldValue(Text).size() == Text.size() &&
         std::all_of(Text.begin(), Text.end(), isTextCharacter);
}

std::string_view bw::trimFieldValue(std::string_view Value) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Value.find_first_not_of(Blanks);
  if (First == Value.npos)
    return {};
  return Value.substr(First, Value.find_last_not_of(Blanks) - First + 1);
}

bool bw::isBodilessStatus(int Status) {
  constexpr int FirstFinal = 200;
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status < FirstFinal || Status == NoContent || Status == NotModified;
}
