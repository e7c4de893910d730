#include "bw_http/messages/percent_encoding.h"

#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <new>

using namespace bw;

std::string bw::percentEncode(std::string_view Text) {
  // libcurl takes a length of 0 for a text that ends in a NUL byte.
  if (Text.empty())
    return {};
  const std::unique_ptr<char, decltype(&curl_free)> Encoded(
      curl_easy_escape(nullptr, Text.data(), static_cast<int>(Text.size())),
      &curl_free);
  if (!Encoded)
    throw std::bad_alloc();
  return Encoded.get();
}

std::optional<std::string> bw::percentDecode(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::string Result;
  for (std::size_t Place = 0; Place < Text.size(); ++Place) {
    if (Text[Place] != '%') {
      Result += Text[Place];
      continue;
    }
    const std::string_view Digits = Text.substr(Place + 1, 2);
    unsigned char Byte = 0;
    const auto [Stop, Code] = std::from_chars(
        Digits.data(), Digits.data() + Digits.size(), Byte, Hexadecimal);
    if (Digits.size() != 2 || Code != std::errc() || Stop != Digits.end())
      return std::nullopt;
    Result += static_cast<char>(Byte);
    Place += Digits.size();
  }
  return Result;
}

std::optional<std::string> bw::percentDecodeQuery(std::string_view Text) {
  std::string Blanks(Text);
  std::replace(Blanks.begin(), Blanks.end(), '+', ' ');
  return percentDecode(Blanks);
}
