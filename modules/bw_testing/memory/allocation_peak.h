#ifndef BW_TESTING_MEMORY_ALLOCATION_PEAK_H
#define BW_TESTING_MEMORY_ALLOCATION_PEAK_H

#include "bw_core/ids/units.h"

namespace bw {

/// Counts what the calling thread holds of the heap through `new`, from the
/// construction on. One at a time for a thread.
class allocation_peak {
public:
  allocation_peak();
  allocation_peak(const allocation_peak &) = delete;
  allocation_peak &operator=(const allocation_peak &) = delete;

  /// The most that was held at once, in bytes with what the allocator adds.
  byte_count value() const;

private:
  long long Start;
};

} // namespace bw

#endif
