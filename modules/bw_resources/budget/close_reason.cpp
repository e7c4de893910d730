#include "bw_resources/budget/close_reason.h"

std::string_view bw::closeReasonName(close_reason Reason) {
  switch (Reason) {
  case close_reason::NoRoom:
    return "no_room";
  case close_reason::Idle:
    return "idle";
  case close_reason::HoldsMost:
    return "holds_most";
  case close_reason::StoppedReading:
    return "stopped_reading";
  case close_reason::SlowRequest:
    return "slow_request";
  }
  return "";
}
