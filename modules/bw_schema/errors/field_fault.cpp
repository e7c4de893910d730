#include "bw_schema/errors/field_fault.h"

using namespace bw;

std::string field_fault::text() const {
  std::string Result;
  if (!File.empty()) {
    Result += File + ":";
    if (Line > 0)
      Result += std::to_string(Line) + ":";
    Result += " ";
  }
  return Result + Field + ": " + Reason;
}

std::string bw::printable(std::string_view Text) {
  constexpr std::size_t MaxLength = 64;
  std::string Result;
  for (const unsigned char Character : Text.substr(0, MaxLength))
    Result += Character < ' ' || Character >= 0x7f
                  ? '?'
                  : static_cast<char>(Character);
  return Text.size() > MaxLength ? Result + "..." : Result;
}
