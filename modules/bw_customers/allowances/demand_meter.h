#ifndef BW_CUSTOMERS_ALLOWANCES_DEMAND_METER_H
#define BW_CUSTOMERS_ALLOWANCES_DEMAND_METER_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <array>
#include <cstdint>

namespace bw {

/// Requests a second that one customer asks this host for. Measures over the
/// last second; over half a second if there are many requests, and over five if
/// there are only a few. Not thread-safe.
class demand_meter {
public:
  void count(time_point Now);
  request_rate rate(time_point Now) const;

private:
  static constexpr std::size_t Slots = 50;

  std::uint64_t countIn(std::uint64_t CurrentSlot, std::size_t Length) const;

  std::array<std::uint32_t, Slots> Counts{};
  /// Number of the newest slot in `Counts` since the start of the clock.
  std::uint64_t Newest = 0;
};

} // namespace bw

#endif
