#include "bw_customers/keys/key_digest.h"

#include <openssl/sha.h>

#include <algorithm>

using namespace bw;

// Keys are long random strings, so a salt would protect nothing, and all hosts
// have to compute the same digest.
key_digest key_digest::of(std::string_view Key) {
  static_assert(Size == SHA256_DIGEST_LENGTH);
  bytes Result;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Result.data());
  return key_digest(Result);
}

std::optional<key_digest> key_digest::fromBytes(std::string_view Bytes) {
  if (Bytes.size() != Size)
    return std::nullopt;
  bytes Result;
  std::copy(Bytes.begin(), Bytes.end(), Result.begin());
  return key_digest(Result);
}

std::string_view key_digest::view() const {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}
