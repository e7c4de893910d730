#ifndef BW_SCHEMA_HASH_SHA256_H
#define BW_SCHEMA_HASH_SHA256_H

#include <string>
#include <string_view>

namespace bw {

/// SHA-256 as 32 bytes.
std::string sha256(std::string_view Content);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Content);

/// Lower-case hexadecimal digits of the bytes.
std::string toHex(std::string_view Bytes);

} // namespace bw

#endif
