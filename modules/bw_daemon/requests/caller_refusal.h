#ifndef BW_DAEMON_REQUESTS_CALLER_REFUSAL_H
#define BW_DAEMON_REQUESTS_CALLER_REFUSAL_H

#include "bw_delivery/outcomes/request_outcome.h"
#include "bw_http/messages/http_messages.h"

#include <chrono>

#include <string>
#include <string_view>

namespace bw {

inline constexpr std::string_view OutcomeHeader = "Bramleywinch-Outcome";

/// A request that is refused before any backend server sees it.
struct caller_refusal {
  int Status = 400;
  /// Stable code, for example `credential_refused`.
  std::string Code;
  std::chrono::milliseconds RetryAfter{0};
};

/// Text of an outcome in headers: `done`, `not-run` or `unknown`.
std::string_view outcomeText(request_outcome Outcome);

/// Answer with a JSON body that tells what happened to the request and what
/// the caller may do.
http_response outcomeResponse(int Status, request_outcome Outcome,
                              const std::string &Code,
                              std::chrono::milliseconds RetryAfter = {});

http_response refusalResponse(const caller_refusal &Refusal);

} // namespace bw

#endif
