#include "bw_operations/audit/audit_buffer.h"

using namespace bw;

bool audit_buffer::add(schema::audit_entry Entry, time_point Now) {
  const std::size_t Bytes = Entry.ByteSizeLong();
  if (WaitingBytes + Bytes > Options.Capacity.value()) {
    ++DroppedCount;
    return false;
  }
  WaitingBytes += Bytes;
  Waiting.push_back({.Entry = std::move(Entry), .Bytes = Bytes, .Since = Now});
  return true;
}

std::optional<time_point> audit_buffer::nextDue() const {
  if (Waiting.empty())
    return std::nullopt;
  const bool IsFull = WaitingBytes >= Options.SegmentSize.value();
  return Unacknowledged || IsFull ? Waiting.front().Since
                                  : Waiting.front().Since + Options.MaxWait;
}

std::optional<schema::audit_segment> audit_buffer::due(time_point Now) {
  const auto Due = nextDue();
  if (!Due || Now < *Due)
    return std::nullopt;
  if (!Unacknowledged)
    build();
  return Unacknowledged;
}

void audit_buffer::build() {
  schema::audit_segment Segment;
  Segment.set_collector(Options.Collector.value());
  Segment.set_number(++LastNumber);
  std::size_t Bytes = 0;
  for (const waiting_entry &Each : Waiting) {
    if (Bytes >= Options.SegmentSize.value())
      break;
    *Segment.add_entries() = Each.Entry;
    Bytes += Each.Bytes;
  }
  Unacknowledged = std::move(Segment);
}

void audit_buffer::acknowledge() {
  if (!Unacknowledged)
    return;
  for (int Count = Unacknowledged->entries_size(); Count > 0; --Count) {
    WaitingBytes -= Waiting.front().Bytes;
    Waiting.pop_front();
  }
  Unacknowledged.reset();
}

void audit_buffer::renumber() {
  if (Unacknowledged)
    Unacknowledged->set_number(++LastNumber);
}
