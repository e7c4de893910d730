#include "bw_schema/hash/sha256.h"

#include <openssl/sha.h>

std::string bw::sha256(std::string_view Content) {
  std::string Digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char *>(Content.data()),
         Content.size(), reinterpret_cast<unsigned char *>(Digest.data()));
  return Digest;
}

std::string bw::sha256Hex(std::string_view Content) {
  return toHex(sha256(Content));
}

std::string bw::toHex(std::string_view Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  Result.reserve(Bytes.size() * 2);
  for (const unsigned char Byte : Bytes) {
    Result += Digits[Byte >> 4];
    Result += Digits[Byte & 15];
  }
  return Result;
}
