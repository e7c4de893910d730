#ifndef BW_GATEWAY_ADMISSION_RETURNING_CALLERS_H
#define BW_GATEWAY_ADMISSION_RETURNING_CALLERS_H

#include "bw_core/ids/time.h"
#include "bw_gateway/messages/gateway_events.h"

#include <deque>
#include <unordered_map>

namespace bw {

/// Recognises requests whose callers were told when to come back, by the label
/// that a caller gives to a request and its repetitions. Other hosts do not
/// know of the refusal. Not thread-safe.
class returning_callers {
public:
  void add(const request_label &Label, time_point ComeBackAt);
  /// True if the caller of this request was refused and comes back no earlier
  /// than it was told. Forgets the caller.
  bool take(const request_label &Label, time_point Now);

private:
  std::unordered_map<request_label, time_point> Callers;
  /// Oldest first.
  std::deque<request_label> Order;
};

} // namespace bw

#endif
