#ifndef BW_DETECTION_EVIDENCE_LATENCY_BAND_H
#define BW_DETECTION_EVIDENCE_LATENCY_BAND_H

#include "bw_core/ids/time.h"

#include <array>
#include <cstddef>

namespace bw {

/// Latency histogram bands: four per doubling, from 256 us to 16 s. Integer
/// arithmetic ensures that every host assigns a latency to the same band.
constexpr std::size_t LatencyBandCount = 64;

std::size_t latencyBand(duration Latency);

/// Exclusive upper end of a band.
duration latencyBandEnd(std::size_t Band);

template <typename Value>
using per_latency_band = std::array<Value, LatencyBandCount>;

} // namespace bw

#endif
