#include "bw_detection/evidence/latency_band.h"

#include <algorithm>
#include <bit>
#include <cstdint>

using namespace bw;

namespace {

constexpr unsigned FirstOctave = 8; // 2^8 us
constexpr unsigned BandsPerOctave = 4;

} // namespace

std::size_t bw::latencyBand(duration Latency) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Latency).count();
  if (Micros < (1 << FirstOctave))
    return 0;
  const auto Value = static_cast<std::uint64_t>(Micros);
  const unsigned Octave = static_cast<unsigned>(std::bit_width(Value)) - 1;
  const std::uint64_t Quarter = (Value >> (Octave - 2)) & (BandsPerOctave - 1);
  const std::size_t Band =
      BandsPerOctave * std::size_t{Octave - FirstOctave} + Quarter;
  return std::min(Band, LatencyBandCount - 1);
}

duration bw::latencyBandEnd(std::size_t Band) {
  const std::size_t Next = Band + 1;
  const std::size_t Octave = FirstOctave + Next / BandsPerOctave;
  const std::size_t Quarter = Next % BandsPerOctave;
  const std::int64_t Micros =
      static_cast<std::int64_t>((BandsPerOctave + Quarter) << (Octave - 2));
  return std::chrono::microseconds(Micros);
}
