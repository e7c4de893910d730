#ifndef BW_SCHEMA_VALIDATION_NAMES_H
#define BW_SCHEMA_VALIDATION_NAMES_H

#include <string_view>

namespace bw {

/// Longest name of any declared object, in characters.
inline constexpr std::size_t MaxNameLength = 64;

/// 1 to 64 characters of [a-z0-9._-], the first a letter or a digit.
bool isName(std::string_view Text);

/// A name without a dot, since credentials have the form `<caller>.<secret>`.
bool isCallerName(std::string_view Text);

/// A name that may also hold upper-case letters: records and change ids.
bool isMixedCaseName(std::string_view Text);

/// Exactly `Length` lower-case hexadecimal digits.
bool isHex(std::string_view Text, std::size_t Length);

} // namespace bw

#endif
