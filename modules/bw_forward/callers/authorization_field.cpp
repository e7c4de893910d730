#include "bw_forward/callers/authorization_field.h"

#include <algorithm>

using namespace bw;

namespace {

constexpr std::string_view KeyScheme = "Bearer";
constexpr std::string_view Blanks = " \t";
constexpr std::size_t MaxKeySize = 512;

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == Text.npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

presented_key withoutDigest(key_presence Presence) {
  return {.Presence = Presence, .Digest = {}};
}

} // namespace

presented_key bw::readPresentedKey(const http_headers &Headers) {
  const http_header *Found = nullptr;
  for (const http_header &Each : Headers.fields()) {
    if (!equalsIgnoringCase(Each.Name, AuthorizationField))
      continue;
    if (Found != nullptr)
      return withoutDigest(key_presence::Repeated);
    Found = &Each;
  }
  if (Found == nullptr)
    return withoutDigest(key_presence::Absent);
  const std::string_view Credentials = trim(Found->Value);
  if (Credentials.empty())
    return withoutDigest(key_presence::Empty);
  const std::size_t Blank =
      std::min(Credentials.find_first_of(Blanks), Credentials.size());
  if (!equalsIgnoringCase(Credentials.substr(0, Blank), KeyScheme))
    return withoutDigest(key_presence::OtherScheme);
  const std::string_view Key = trim(Credentials.substr(Blank));
  if (Key.empty() || Key.find_first_of(Blanks) != Key.npos)
    return withoutDigest(key_presence::Empty);
  if (Key.size() > MaxKeySize)
    return withoutDigest(key_presence::TooLong);
  return {.Presence = key_presence::Present, .Digest = key_digest::of(Key)};
}
