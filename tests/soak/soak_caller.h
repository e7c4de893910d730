#ifndef TESTS_SOAK_SOAK_CALLER_H
#define TESTS_SOAK_SOAK_CALLER_H

#include "tests/soak/promise_checker.h"

#include "bw_forward/parser/http1_parser.h"

#include <atomic>
#include <memory>
#include <string>

namespace bw::soak {

/// Where a host of the run listens.
struct host_address {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// The request as it is sent, with the time that the caller waits at most.
std::string requestText(const asked_request &Request,
                        const relay_headers &Names, duration Limit);

/// A connection of a caller to a host, kept from one request to the next as
/// long as both sides keep it. Blocking; for one thread.
class caller_connection_client {
public:
  caller_connection_client(const host_address &Address,
                           const relay_headers &Names);
  ~caller_connection_client();
  caller_connection_client(const caller_connection_client &) = delete;
  caller_connection_client &
  operator=(const caller_connection_client &) = delete;

  bool isOpen() const { return Descriptor >= 0; }

  /// Sends the request and reads its answer until the limit.
  seen_answer call(const asked_request &Request, duration Limit,
                   runtime_clock &Clock);
  /// Seconds to wait that the last answer asked for; 0: none.
  double retryAfter() const { return RetryAfter; }

private:
  bool send(std::string_view Bytes) const;
  void close();

  const relay_headers &Names;
  int Descriptor = -1;
  double RetryAfter = 0;
};

/// True when the host answers 200 to the path.
bool asksReady(const host_address &Address, const std::string &Path,
               duration Limit);

} // namespace bw::soak

#endif
