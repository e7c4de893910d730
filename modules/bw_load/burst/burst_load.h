#ifndef BW_LOAD_BURST_BURST_LOAD_H
#define BW_LOAD_BURST_BURST_LOAD_H

#include "bw_core/ids/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bw {

struct burst_options {
  std::string Ip = "127.0.0.1";
  std::uint16_t Port = 0;
  /// One request without a body; it is sent `Requests` times.
  std::string Request;
  std::size_t Requests = 10'000;
  /// Requests that each connection sends at once, without waiting for
  /// responses.
  std::size_t RequestsPerConnection = 16;
  /// Time after which responses that are still missing count as overdue.
  duration Limit = std::chrono::seconds(60);
};

/// How the requests of a burst ended.
struct burst_report {
  std::size_t Succeeded = 0; ///< Status below 400.
  std::size_t Refused = 0;   ///< Status 503.
  std::size_t Failed = 0;    ///< Any other status.
  /// The connection was refused or closed before the response.
  std::size_t Closed = 0;
  /// Neither a response nor a close before the limit.
  std::size_t Overdue = 0;
  duration Elapsed{};

  /// Lines `<prefix>.<name> value unit`.
  std::string text(const std::string &Prefix) const;
};

/// Sends all requests at once, over as many connections as they need, and waits
/// for the responses. Each connection uses a descriptor.
burst_report runBurst(const burst_options &Options);

} // namespace bw

#endif
