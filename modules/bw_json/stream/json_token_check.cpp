#include "bw_json/stream/json_token_check.h"

#include <algorithm>
#include <string_view>

using namespace bw;

namespace {

constexpr std::string_view Digits = "0123456789";

bool isHexDigit(unsigned char Byte) {
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'f') ||
         (Byte >= 'A' && Byte <= 'F');
}

// Removes the digits at the start. Returns false if there are none.
bool skipDigits(std::string_view &Text) {
  const std::size_t Count =
      std::min(Text.find_first_not_of(Digits), Text.size());
  Text.remove_prefix(Count);
  return Count > 0;
}

bool skip(std::string_view &Text, std::string_view Characters) {
  if (Text.empty() || Characters.find(Text.front()) == Characters.npos)
    return false;
  Text.remove_prefix(1);
  return true;
}

bool isNumber(std::string_view Text) {
  skip(Text, "-");
  if (!skip(Text, "0") && !skipDigits(Text))
    return false;
  if (skip(Text, ".") && !skipDigits(Text))
    return false;
  if (skip(Text, "eE")) {
    skip(Text, "+-");
    if (!skipDigits(Text))
      return false;
  }
  return Text.empty();
}

} // namespace

// UTF-8 as in RFC 3629: no overlong forms, no surrogates, nothing above
// U+10FFFF.
bool json_text_check::nextLead(unsigned char Byte) {
  Lowest = 0x80;
  Highest = 0xBF;
  if (Byte < 0x80)
    return Byte >= 0x20;
  if (Byte < 0xC2 || Byte > 0xF4)
    return false;
  if (Byte < 0xE0) {
    Continuations = 1;
  } else if (Byte < 0xF0) {
    Continuations = 2;
    Lowest = Byte == 0xE0 ? 0xA0 : 0x80;
    Highest = Byte == 0xED ? 0x9F : 0xBF;
  } else {
    Continuations = 3;
    Lowest = Byte == 0xF0 ? 0x90 : 0x80;
    Highest = Byte == 0xF4 ? 0x8F : 0xBF;
  }
  return true;
}

bool json_text_check::next(unsigned char Byte) {
  if (IsEscape) {
    IsEscape = false;
    if (Byte == 'u')
      HexDigits = 4;
    return std::string_view("\"\\/bfnrtu").find(static_cast<char>(Byte)) !=
           std::string_view::npos;
  }
  if (HexDigits > 0) {
    --HexDigits;
    if (isHexDigit(Byte))
      return true;
    HexDigits = 0;
    IsEscape = Byte == '\\';
    return false;
  }
  if (Continuations > 0) {
    const bool IsValid = Byte >= Lowest && Byte <= Highest;
    Lowest = 0x80;
    Highest = 0xBF;
    --Continuations;
    if (IsValid)
      return true;
    Continuations = 0;
    IsEscape = Byte == '\\';
    return false;
  }
  if (Byte == '\\') {
    IsEscape = true;
    return true;
  }
  return nextLead(Byte);
}

void json_scalar_check::next(char Character) {
  if (Size < MaxSize)
    Text[Size] = Character;
  ++Size;
}

bool json_scalar_check::isValid() const {
  if (Size > MaxSize)
    return false;
  const std::string_view Whole(Text.data(), Size);
  return Whole == "true" || Whole == "false" || Whole == "null" ||
         isNumber(Whole);
}
