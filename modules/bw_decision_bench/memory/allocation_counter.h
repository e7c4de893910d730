#ifndef BW_DECISION_BENCH_MEMORY_ALLOCATION_COUNTER_H
#define BW_DECISION_BENCH_MEMORY_ALLOCATION_COUNTER_H

#include <cstdint>

namespace bw {

/// Counts of the replaced global `operator new` and `operator delete`. Bytes
/// are those that the allocator sets aside, without its header of 8 bytes.
/// Single thread.
struct allocation_totals {
  std::uint64_t Allocations = 0;
  std::uint64_t AllocatedBytes = 0;
  std::uint64_t FreedBytes = 0;

  std::uint64_t liveBytes() const { return AllocatedBytes - FreedBytes; }
};

/// Totals since the start of the process.
allocation_totals allocationTotals();

} // namespace bw

#endif
