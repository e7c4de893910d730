#ifndef BW_DETECTION_EVIDENCE_EVIDENCE_CLASS_H
#define BW_DETECTION_EVIDENCE_EVIDENCE_CLASS_H

#include "bw_core/ids/strong_number.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bw {

/// Outcome of a request, as far as it is evidence of the server's health.
enum class server_outcome : std::uint8_t {
  Succeeded,
  /// The server responded with an error of its own (5xx, broken content).
  Failed,
  /// No answer: the connection failed or broke, or the deadline passed.
  Unreachable,
  /// The server shed the request, which is no evidence of its health.
  Shed,
  /// Abandoned by the caller or by this host; only its age is evidence.
  Cancelled,
};

/// Classes of evidence that one request gives about its server, from best to
/// worst. Latencies are classified by quantiles of the peers' latencies.
enum class evidence_class : std::uint8_t {
  Normal,    ///< up to the 0.9 quantile
  High,      ///< up to the 0.99 quantile
  VeryHigh,  ///< up to the 0.999 quantile
  Extreme,   ///< up to twice the 0.999 quantile
  Excessive, ///< up to four times the 0.999 quantile
  Unbounded, ///< above that
  Failed,
  Unreachable,
};

constexpr std::size_t EvidenceClassCount = 8;

constexpr bool isBad(evidence_class Class) {
  return Class >= evidence_class::VeryHigh;
}

/// Index of a request kind within its service. The fourth and all further kinds
/// share the last index, which bounds the memory of a detector.
using kind_index = strong_number<struct kind_index_tag, std::uint8_t>;

constexpr std::size_t MaxKinds = 4;

constexpr kind_index boundedKind(std::size_t Position) {
  return kind_index(
      static_cast<std::uint8_t>(Position < MaxKinds ? Position : MaxKinds - 1));
}

template <typename Value>
using per_class = std::array<Value, EvidenceClassCount>;
template <typename Value> using per_kind = std::array<Value, MaxKinds>;

} // namespace bw

#endif
