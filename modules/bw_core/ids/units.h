#ifndef BW_CORE_IDS_UNITS_H
#define BW_CORE_IDS_UNITS_H

#include "bw_core/ids/strong_number.h"

namespace bw {

using byte_count = strong_number<struct byte_count_tag>;
/// Requests that a backend server runs at the same time.
using slot_count = strong_number<struct slot_count_tag, std::uint32_t>;
/// A share between 0 and 1.
using ratio = strong_number<struct ratio_tag, double>;

/// Requests per second.
using request_rate = strong_number<struct request_rate_tag, double>;

constexpr byte_count kibibytes(std::uint64_t Count) {
  return byte_count(Count * 1024);
}
constexpr byte_count mebibytes(std::uint64_t Count) {
  return kibibytes(Count * 1024);
}

} // namespace bw

#endif
