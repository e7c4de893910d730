#ifndef BW_DELIVERY_ATTEMPTS_DELAY_ESTIMATE_H
#define BW_DELIVERY_ATTEMPTS_DELAY_ESTIMATE_H

#include "bw_delivery/attempts/attempt_messages.h"

#include <optional>

namespace bw {

/// Estimates by how much a message was delayed compared with the fastest recent
/// message of the same sender, without synchronised clocks. The baseline is the
/// minimum over two windows, so drift or a jump of either clock affects it for
/// two windows at most.
class delay_estimate {
public:
  explicit delay_estimate(duration Window) : Window(Window) {}

  /// Records a message and returns its additional delay, which is at least 0.
  duration observe(sender_time Issued, time_point Now);

private:
  duration Window;
  time_point WindowStart{};
  std::optional<duration> Current;
  std::optional<duration> Previous;
};

} // namespace bw

#endif
