#include "bw_testing/memory/allocation_peak.h"

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

thread_local long long Held = 0;
thread_local long long Peak = 0;

// What the allocator keeps before each block.
constexpr long long BlockHead = 16;

void *allocate(std::size_t Size, std::size_t Alignment) {
  void *Block = Alignment <= alignof(std::max_align_t)
                    ? std::malloc(Size)
                    : std::aligned_alloc(Alignment, (Size + Alignment - 1) /
                                                        Alignment * Alignment);
  if (Block == nullptr)
    throw std::bad_alloc();
  Held += static_cast<long long>(::malloc_usable_size(Block)) + BlockHead;
  Peak = std::max(Peak, Held);
  return Block;
}

void release(void *Block) {
  if (Block == nullptr)
    return;
  Held -= static_cast<long long>(::malloc_usable_size(Block)) + BlockHead;
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) {
  return allocate(Size, alignof(std::max_align_t));
}
void *operator new(std::size_t Size, std::align_val_t Alignment) {
  return allocate(Size, static_cast<std::size_t>(Alignment));
}
void operator delete(void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }
void operator delete(void *Block, std::align_val_t) noexcept { release(Block); }
void operator delete(void *Block, std::size_t, std::align_val_t) noexcept {
  release(Block);
}

namespace bw {

allocation_peak::allocation_peak() : Start(Held) { Peak = Held; }

byte_count allocation_peak::value() const {
  return byte_count(static_cast<std::uint64_t>(std::max(Peak - Start, 0LL)));
}

} // namespace bw
