#ifndef BW_CUSTOMERS_KEYS_KEY_DIGEST_H
#define BW_CUSTOMERS_KEYS_KEY_DIGEST_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace bw {

/// SHA-256 digest of a customer's key. It takes the place of the key everywhere
/// but in the field that carries it.
class key_digest {
public:
  static constexpr std::size_t Size = 32;
  using bytes = std::array<std::uint8_t, Size>;

  key_digest() = default;
  explicit key_digest(const bytes &Bytes) : Bytes(Bytes) {}

  /// Returns the digest of a key.
  static key_digest of(std::string_view Key);
  /// Returns the digest with these bytes; nothing unless there are `Size`.
  static std::optional<key_digest> fromBytes(std::string_view Bytes);

  std::string_view view() const;

  friend auto operator<=>(const key_digest &, const key_digest &) = default;

private:
  bytes Bytes{};
};

} // namespace bw

template <> struct std::hash<bw::key_digest> {
  std::size_t operator()(const bw::key_digest &Digest) const {
    return std::hash<std::string_view>()(Digest.view());
  }
};

#endif
