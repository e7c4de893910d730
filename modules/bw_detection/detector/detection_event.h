#ifndef BW_DETECTION_DETECTOR_DETECTION_EVENT_H
#define BW_DETECTION_DETECTOR_DETECTION_EVENT_H

#include "bw_core/ids/time.h"
#include "bw_detection/evidence/evidence_class.h"

#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>

namespace bw {

/// Sequence number of a connection to one instance, in the order of opening.
using connection_number = strong_number<struct connection_number_tag>;

enum class detection_event_type : std::uint8_t {
  /// The connection has to be closed, unless a submission is in flight on it,
  /// and the next requests sent on new connections.
  ConnectionSuspected,
  /// Current digests are needed from a few other owners of the service.
  ReferenceRequested,
  /// The successor has to check requests of this kind over its own path.
  PathCheckRequested,
  /// The backend server is healthy when reached from the successor, so the
  /// instance has to be handed over to it.
  PathFault,
  Ejected,
  /// Repeatable requests of the kind have to be sent, one at a time.
  TrialRequested,
  Returned,
};

struct detection_event {
  detection_event_type Type = detection_event_type::Returned;
  kind_index Kind;
  /// Score of the sequential test in nats; set for Ejected only.
  double Score = 0;
  /// End of the ejection; set for Ejected only.
  time_point Until{};
  /// Set for ConnectionSuspected only.
  connection_number Connection;
};

/// The events raised by one call, in a fixed-size container.
class detection_events {
public:
  void add(const detection_event &Event) {
    assert(Count < Events.size());
    Events[Count++] = Event;
  }
  const detection_event *begin() const { return Events.data(); }
  const detection_event *end() const { return Events.data() + Count; }
  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  // One call raises at most one connection event per tracked request and three
  // other events per kind.
  std::array<detection_event, 20> Events{};
  std::size_t Count = 0;
};

} // namespace bw

#endif
