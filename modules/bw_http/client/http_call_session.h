#ifndef BW_HTTP_CLIENT_HTTP_CALL_SESSION_H
#define BW_HTTP_CLIENT_HTTP_CALL_SESSION_H

#include "bw_http/client/http_call.h"

#include <memory>

namespace bw {

/// As `callHttp`, but keeps connections from one call to the next. For one
/// thread but for `cancel`. A request on a kept connection that died is sent
/// again by libcurl, so it must not be used for what may happen only once.
class http_call_session {
public:
  http_call_session();
  ~http_call_session();
  http_call_session(const http_call_session &) = delete;
  http_call_session &operator=(const http_call_session &) = delete;

  call_result call(client_request Request);

  /// Ends the present call, if any, and lets all later ones fail. Thread-safe.
  void cancel();

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
