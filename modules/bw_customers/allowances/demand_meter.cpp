#include "bw_customers/allowances/demand_meter.h"

#include <algorithm>

using namespace bw;

namespace {

constexpr duration SlotTime = std::chrono::milliseconds(100);
constexpr std::size_t ShortLength = 5;
constexpr std::size_t UsualLength = 10;
// With this many requests, half a second gives the rate within a fifth. The
// share of a host then follows demand that moves in half the time.
constexpr std::uint64_t ManyRequests = 30;
// Below this, a second is too short to tell a low demand from none.
constexpr std::uint64_t FewRequests = 5;
// A customer with more requests in five seconds than this has stopped asking
// this host if the last second has few.
constexpr std::uint64_t MaxSparseRequests = 10;

std::uint64_t slotAt(time_point Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() / SlotTime);
}

request_rate rateOf(std::uint64_t Count, std::size_t Length) {
  return request_rate(static_cast<double>(Count) /
                      std::chrono::duration<double>(SlotTime * Length).count());
}

} // namespace

void demand_meter::count(time_point Now) {
  const std::uint64_t Slot = slotAt(Now);
  if (Slot > Newest) {
    const std::uint64_t Passed = std::min<std::uint64_t>(Slot - Newest, Slots);
    for (std::uint64_t Each = 0; Each < Passed; ++Each)
      Counts[(Slot - Each) % Slots] = 0;
    Newest = Slot;
  }
  ++Counts[Newest % Slots];
}

std::uint64_t demand_meter::countIn(std::uint64_t CurrentSlot,
                                    std::size_t Length) const {
  std::uint64_t Sum = 0;
  for (std::size_t Back = 0; Back < Length && Back <= CurrentSlot; ++Back) {
    const std::uint64_t Slot = CurrentSlot - Back;
    if (Slot <= Newest && Newest - Slot < Slots)
      Sum += Counts[Slot % Slots];
  }
  return Sum;
}

request_rate demand_meter::rate(time_point Now) const {
  const std::uint64_t Slot = std::max(slotAt(Now), Newest);
  const std::uint64_t Short = countIn(Slot, ShortLength);
  if (Short >= ManyRequests)
    return rateOf(Short, ShortLength);
  const std::uint64_t Usual = countIn(Slot, UsualLength);
  const std::uint64_t Long = countIn(Slot, Slots);
  if (Usual >= FewRequests || Long > MaxSparseRequests)
    return rateOf(Usual, UsualLength);
  return std::max(rateOf(Usual, UsualLength), rateOf(Long, Slots));
}
