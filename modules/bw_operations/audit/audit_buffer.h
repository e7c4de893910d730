#ifndef BW_OPERATIONS_AUDIT_AUDIT_BUFFER_H
#define BW_OPERATIONS_AUDIT_AUDIT_BUFFER_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_schema/bramleywinch.pb.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bw {

struct audit_buffer_options {
  /// Host that collects.
  host_id Collector;
  /// A segment is due when its oldest entry has waited this long.
  duration MaxWait = std::chrono::seconds(1);
  /// A segment is due when its entries have this size, and never exceeds it by
  /// more than one entry.
  byte_count SegmentSize = kibibytes(256);
  /// Entries beyond this size are dropped and counted.
  byte_count Capacity = mebibytes(16);
};

/// Entries that wait to be written as segments, at a collector or at a host
/// that sends them to one. A segment stays until it is acknowledged, and is
/// the same each time, so writing it again has no second effect. For one
/// thread.
class audit_buffer {
public:
  explicit audit_buffer(audit_buffer_options Options)
      : Options(std::move(Options)) {}

  /// False when the entry was dropped, since the buffer is full.
  bool add(schema::audit_entry Entry, time_point Now);

  /// The segment to write now; nothing when none is due.
  std::optional<schema::audit_segment> due(time_point Now);

  /// When the next segment is due; nothing when no entry waits.
  std::optional<time_point> nextDue() const;

  /// The segment was written.
  void acknowledge();

  /// Its name was taken; the next one has another.
  void renumber();

  std::uint64_t droppedCount() const { return DroppedCount; }
  std::size_t size() const { return Waiting.size(); }

private:
  struct waiting_entry {
    schema::audit_entry Entry;
    std::size_t Bytes;
    time_point Since;
  };

  void build();

  audit_buffer_options Options;
  std::deque<waiting_entry> Waiting;
  std::size_t WaitingBytes = 0;
  std::optional<schema::audit_segment> Unacknowledged;
  std::uint64_t LastNumber = 0;
  std::uint64_t DroppedCount = 0;
};

} // namespace bw

#endif
