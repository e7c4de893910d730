#include "bw_gateway/messages/gateway_commands.h"

std::string_view bw::refusalName(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::NoConfiguration:
    return "no_configuration";
  case refusal_reason::NoRoute:
    return "no_route";
  case refusal_reason::NoServer:
    return "no_server";
  case refusal_reason::NotExecuted:
    return "not_executed";
  case refusal_reason::NoRoom:
    return "no_room";
  case refusal_reason::Stopping:
    return "stopping";
  case refusal_reason::Overloaded:
    return "overloaded";
  case refusal_reason::Unauthenticated:
    return "unauthenticated";
  case refusal_reason::OverAllowance:
    return "over_allowance";
  case refusal_reason::ConfigurationStale:
    return "configuration_stale";
  case refusal_reason::Unknown:
    return "unknown";
  case refusal_reason::Timeout:
    return "timeout";
  }
  return "";
}
