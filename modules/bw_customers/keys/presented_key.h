#ifndef BW_CUSTOMERS_KEYS_PRESENTED_KEY_H
#define BW_CUSTOMERS_KEYS_PRESENTED_KEY_H

#include "bw_customers/keys/key_digest.h"

#include <cstdint>
#include <string_view>

namespace bw {

/// Whether a request carries a key that can be looked up.
enum class key_presence : std::uint8_t {
  Absent,      ///< The request has no credentials.
  Present,     ///< `presented_key::Digest` is set.
  Repeated,    ///< There are several credentials.
  OtherScheme, ///< The credentials are not of the scheme for keys.
  Empty,       ///< The key is empty or contains blanks.
  TooLong,     ///< The key is longer than any that is looked up.
};

/// Returns the name for logs, for example `other_scheme`.
std::string_view presenceName(key_presence Presence);

/// The key that a caller presented with a request, as a digest.
struct presented_key {
  key_presence Presence = key_presence::Absent;
  key_digest Digest = {};

  friend bool operator==(const presented_key &,
                         const presented_key &) = default;
};

} // namespace bw

#endif
