#include "bw_platform/objects/platform_objects.h"

#include <algorithm>
#include <cctype>

using namespace bw;

object_key_error::object_key_error()
    : error("an object's kind and name must have 1 to 200 characters of A-Z, "
            "a-z, 0-9, '.', '_', '-'") {}

bool bw::isObjectName(std::string_view Text) {
  constexpr std::size_t MaxLength = 200;
  // "." and ".." would be normalised away as path segments.
  if (Text.empty() || Text.size() > MaxLength || Text == "." || Text == "..")
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return (Character < 0x80 && std::isalnum(Character) != 0) ||
           Character == '.' || Character == '_' || Character == '-';
  });
}
