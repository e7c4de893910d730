#include "bw_decision_bench/memory/allocation_counter.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

bw::allocation_totals Totals;

} // namespace

bw::allocation_totals bw::allocationTotals() { return Totals; }

void *operator new(std::size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    throw std::bad_alloc();
  ++Totals.Allocations;
  Totals.AllocatedBytes += malloc_usable_size(Memory);
  return Memory;
}

void operator delete(void *Memory) noexcept {
  Totals.FreedBytes += malloc_usable_size(Memory);
  std::free(Memory);
}

void operator delete(void *Memory, std::size_t) noexcept {
  operator delete(Memory);
}
