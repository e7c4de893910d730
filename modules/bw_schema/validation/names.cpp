#include "bw_schema/validation/names.h"

#include <algorithm>

using namespace bw;

namespace {

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }
bool isLower(char Character) { return Character >= 'a' && Character <= 'z'; }
bool isUpper(char Character) { return Character >= 'A' && Character <= 'Z'; }

bool isLowerWord(char Character) {
  return isLower(Character) || isDigit(Character);
}

bool isMixedWord(char Character) {
  return isLowerWord(Character) || isUpper(Character);
}

bool isPunctuation(char Character) {
  return Character == '.' || Character == '_' || Character == '-';
}

template <typename Predicate>
bool isMadeOf(std::string_view Text, Predicate IsWord) {
  return !Text.empty() && Text.size() <= MaxNameLength && IsWord(Text[0]) &&
         std::all_of(Text.begin(), Text.end(), [&](char Character) {
           return IsWord(Character) || isPunctuation(Character);
         });
}

} // namespace

bool bw::isName(std::string_view Text) { return isMadeOf(Text, isLowerWord); }

bool bw::isCallerName(std::string_view Text) {
  return isName(Text) && Text.find('.') == std::string_view::npos;
}

bool bw::isMixedCaseName(std::string_view Text) {
  return isMadeOf(Text, isMixedWord);
}

bool bw::isHex(std::string_view Text, std::size_t Length) {
  return Text.size() == Length &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return isDigit(Character) || (Character >= 'a' && Character <= 'f');
         });
}
