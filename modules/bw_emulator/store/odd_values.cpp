#include "bw_emulator/store/odd_values.h"

using namespace bw;

namespace {

std::string repeat(std::string_view Part, std::size_t Size) {
  std::string Result(Part);
  while (Result.size() + Part.size() < Size)
    (Result += ',') += Part;
  return Result;
}

std::string members(std::size_t Size) {
  std::string Result;
  for (std::size_t Number = 0; Result.size() < Size; ++Number)
    Result += (Number == 0 ? "\"" : ",\"") + std::to_string(Number) + "\":0";
  return Result;
}

} // namespace

std::string_view bw::nameOf(odd_shape Shape) {
  switch (Shape) {
  case odd_shape::Deep:
    return "deep";
  case odd_shape::Nested:
    return "nested";
  case odd_shape::Wide:
    return "wide";
  case odd_shape::Members:
    return "members";
  case odd_shape::Texts:
    return "texts";
  case odd_shape::LongText:
    return "long text";
  case odd_shape::Numbers:
    return "numbers";
  case odd_shape::Unreadable:
    return "unreadable";
  }
  return "";
}

std::string bw::makeOddElements(odd_shape Shape, byte_count Bytes) {
  constexpr std::size_t ChainDepth = 30;
  const std::size_t Size = Bytes.value();
  switch (Shape) {
  case odd_shape::Deep:
    return std::string(Size / 2, '[') + std::string(Size / 2, ']');
  case odd_shape::Nested:
    return repeat(std::string(ChainDepth, '[') + std::string(ChainDepth, ']'),
                  Size);
  case odd_shape::Wide:
    return repeat("{}", Size);
  case odd_shape::Members:
    return "{" + members(Size) + "}";
  case odd_shape::Texts:
    return repeat(R"("a")", Size);
  case odd_shape::LongText:
    return "\"" + std::string(Size, 'a') + "\"";
  case odd_shape::Numbers:
    return repeat("0", Size);
  case odd_shape::Unreadable:
    return repeat("1e999,nan,\"\xff\"", Size);
  }
  return "";
}

std::string bw::makeOddValue(odd_shape Shape, byte_count Size) {
  return "[" + makeOddElements(Shape, Size) + "]";
}
