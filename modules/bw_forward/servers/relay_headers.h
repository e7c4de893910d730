#ifndef BW_FORWARD_SERVERS_RELAY_HEADERS_H
#define BW_FORWARD_SERVERS_RELAY_HEADERS_H

#include "bw_core/ids/time.h"

#include <cmath>
#include <functional>
#include <string>

namespace bw {

/// Names of the header fields shared by callers, hosts and backend servers. The
/// defaults are defined by this project.
struct relay_headers {
  /// The caller's id of one attempt; servers echo it in their responses.
  std::string RequestLabel = "Bw-Request-Id";
  /// How long the sender waits for the response, in milliseconds.
  std::string Deadline = "Bw-Deadline-Ms";
  /// The backend server that the request is intended for; others decline it.
  std::string ExpectedServer = "Bw-Server";
  /// In requests to servers: the name of the customer that sent the request.
  std::string Customer = "Bw-Customer";
  /// In responses: the request was not executed.
  std::string NotExecuted = "Bw-Not-Run";
  /// In successful responses: proves that the server generated them. Empty if
  /// no signature is required.
  std::string Signature = {};
  /// In responses: the requests a second that the server accepts from all hosts
  /// together, as a decimal number.
  std::string RequestLimit = "Bw-Request-Limit";
  /// In responses: the value 1 says that the server is shutting down.
  std::string Leaving = "Bw-Leaving";
  /// Formats the value of `Retry-After`. RFC 9110 allows whole seconds only.
  std::function<std::string(duration)> RetryAfter = [](duration Wait) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(Wait).count());
  };
};

} // namespace bw

#endif
