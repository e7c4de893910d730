#include "bw_forward/parser/chunk_grammar.h"

#include <algorithm>

using namespace bw;

namespace {

constexpr std::uint64_t Hexadecimal = 16;

// Returns the base for a character that is no digit.
std::uint64_t digitOf(char Character) {
  constexpr std::uint64_t Ten = 10;
  if (Character >= '0' && Character <= '9')
    return std::uint64_t(Character - '0');
  if (Character >= 'a' && Character <= 'f')
    return std::uint64_t(Character - 'a') + Ten;
  if (Character >= 'A' && Character <= 'F')
    return std::uint64_t(Character - 'A') + Ten;
  return Hexadecimal;
}

} // namespace

bool chunk_grammar::accepts(std::string_view Bytes) {
  while (!Bytes.empty() && Place != place::Malformed) {
    std::size_t Taken = 1;
    if (Place == place::Data) {
      Taken = std::min<std::uint64_t>(Left, Bytes.size());
      Left -= Taken;
      if (Left == 0)
        Place = place::DataEnd;
    } else if (Place == place::Trailer) {
      Taken = Trailer.feed(Bytes);
      // Bytes behind the trailer belong to no chunk.
      if (Trailer.state() == head_state::Malformed || Taken == 0)
        Place = place::Malformed;
    } else {
      Place = next(Bytes.front());
    }
    Bytes.remove_prefix(Taken);
  }
  return Place != place::Malformed;
}

chunk_grammar::place chunk_grammar::next(char Character) {
  switch (Place) {
  case place::FirstDigit:
    Left = digitOf(Character);
    return Left < Hexadecimal ? place::Size : place::Malformed;
  case place::Size:
  case place::Padding:
    return nextInSize(Character);
  case place::Extension:
    if (Character == '\r')
      return place::SizeEnd;
    return isTextCharacter(Character) ? Place : place::Malformed;
  case place::SizeEnd:
    if (Character != '\n')
      return place::Malformed;
    return Left == 0 ? place::Trailer : place::Data;
  case place::DataEnd:
    return Character == '\r' ? place::DataLineEnd : place::Malformed;
  case place::DataLineEnd:
    return Character == '\n' ? place::FirstDigit : place::Malformed;
  case place::Data:
  case place::Trailer:
  case place::Malformed:
    break;
  }
  return Place;
}

chunk_grammar::place chunk_grammar::nextInSize(char Character) {
  if (Character == '\r')
    return place::SizeEnd;
  if (Character == ';')
    return place::Extension;
  if (Character == ' ' || Character == '\t')
    return place::Padding;
  const std::uint64_t Digit = digitOf(Character);
  constexpr std::uint64_t MaxBeforeDigit = UINT64_MAX / Hexadecimal;
  if (Place == place::Padding || Digit == Hexadecimal || Left > MaxBeforeDigit)
    return place::Malformed;
  Left = Left * Hexadecimal + Digit;
  return place::Size;
}
