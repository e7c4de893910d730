#include "bw_gateway/messages/gateway_events.h"

std::string_view bw::outcomeName(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Answered:
    return "answered";
  case attempt_outcome::NotExecuted:
    return "not_executed";
  case attempt_outcome::NotSent:
    return "not_sent";
  case attempt_outcome::Expired:
    return "expired";
  case attempt_outcome::Broken:
    return "broken";
  }
  return "";
}
