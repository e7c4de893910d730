#include "bw_http/messages/http_messages.h"

#include <algorithm>
#include <array>

using namespace bw;

namespace {

char lower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character + ('a' - 'A'))
             : Character;
}

} // namespace

bool bw::equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

bool bw::isHopByHopHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 11> Names = {
      "connection",
      "keep-alive",
      "proxy-authenticate",
      "te",
      "trailer",
      "proxy-authorization",
      "upgrade",
      "transfer-encoding",
      "content-length",
      "host",
      "expect"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
    return equalsIgnoringCase(Known, Name);
  });
}

void http_headers::add(std::string Name, std::string Value) {
  Fields.push_back({std::move(Name), std::move(Value)});
}

std::optional<std::string> http_headers::find(std::string_view Name) const {
  for (const http_header &Field : Fields)
    if (equalsIgnoringCase(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

std::string http_headers::combined(std::string_view Name) const {
  std::string Result;
  for (const http_header &Field : Fields)
    if (equalsIgnoringCase(Field.Name, Name))
      Result += (Result.empty() ? "" : ", ") + Field.Value;
  return Result;
}

std::optional<std::string>
http_request::queryParameter(std::string_view Name) const {
  std::string_view Rest = Query;
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return std::string(Equals == Pair.npos ? std::string_view()
                                             : Pair.substr(Equals + 1));
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return std::nullopt;
}
