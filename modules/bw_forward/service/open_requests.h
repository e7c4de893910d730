#ifndef BW_FORWARD_SERVICE_OPEN_REQUESTS_H
#define BW_FORWARD_SERVICE_OPEN_REQUESTS_H

#include "bw_forward/servers/server_attempt.h"

#include <unordered_map>
#include <vector>

namespace bw {

/// The requests that were passed on for a decision and have no complete
/// response, with their attempts.
class open_requests {
public:
  void open(const exchange_pointer &Exchange);
  /// Forgets the request and closes the connections of its attempts.
  void close(request_number Request);

  /// Null if the request is not open.
  exchange_pointer find(request_number Request) const;
  attempt_pointer find(request_number Request, attempt_number Number) const;
  /// A copy, because what is done with an attempt may close the request.
  std::vector<attempt_pointer> attempts(request_number Request) const;

  void add(const attempt_pointer &Attempt);
  /// Forgets the attempt and closes its connection.
  void cancel(request_number Request, attempt_number Number);

  /// What the attempts of a request hold.
  attempt_holding held(request_number Request) const;

private:
  struct open_request {
    exchange_pointer Exchange;
    std::vector<attempt_pointer> Attempts;
  };

  std::unordered_map<request_number, open_request> Requests;
};

} // namespace bw

#endif
