#ifndef BW_FORWARD_SERVERS_RELAY_HEADERS_H
#define BW_FORWARD_SERVERS_RELAY_HEADERS_H

#include "bw_core/ids/time.h"

#include <cmath>
#include <functional>
#include <string>

namespace bw {

/// Names of the header fields that callers, hosts and backend servers agree
/// on. The defaults are the project's own.
struct relay_headers {
  /// The caller's id of one attempt; servers repeat it in their answers.
  std::string RequestLabel = "Bw-Request-Id";
  /// How long the sender waits, in milliseconds.
  std::string Deadline = "Bw-Deadline-Ms";
  /// The backend server that the request is meant for; others decline it.
  std::string ExpectedServer = "Bw-Server";
  /// In answers: the request was not run.
  std::string NotExecuted = "Bw-Not-Run";
  /// In successful answers: proves that they are the server's own. Empty: no
  /// proof is asked for.
  std::string Signature = {};
  /// Value of `Retry-After`. RFC 9110 knows whole seconds only.
  std::function<std::string(duration)> RetryAfter = [](duration Wait) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(Wait).count());
  };
};

} // namespace bw

#endif
