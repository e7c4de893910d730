#ifndef BW_HTTP_CLIENT_HTTP_CALL_H
#define BW_HTTP_CLIENT_HTTP_CALL_H

#include "bw_http/client/http_client.h"

namespace bw {

struct call_result {
  transfer_result Transfer;
  /// Meaningful when the transfer is complete.
  http_response Response;
};

/// Limit on the body of a blocking call, which keeps it in memory.
constexpr byte_count DefaultBodyLimit = mebibytes(64);

/// Sends one request and waits for its whole response, on the calling thread.
/// The request's hooks are not used.
call_result callHttp(client_request Request);

} // namespace bw

#endif
