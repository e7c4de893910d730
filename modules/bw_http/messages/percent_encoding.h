#ifndef BW_HTTP_MESSAGES_PERCENT_ENCODING_H
#define BW_HTTP_MESSAGES_PERCENT_ENCODING_H

#include <optional>
#include <string>
#include <string_view>

namespace bw {

/// Encodes all bytes but unreserved ones (RFC 3986, 2.3), so that the text can
/// stand as a path segment or as a value in a query.
std::string percentEncode(std::string_view Text);

/// Decodes a path segment. Returns nothing if a '%' is not followed by two
/// hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view Text);

/// Decodes a value of a query, in which '+' stands for a blank.
std::optional<std::string> percentDecodeQuery(std::string_view Text);

} // namespace bw

#endif
