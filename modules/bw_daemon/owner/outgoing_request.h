#ifndef BW_DAEMON_OWNER_OUTGOING_REQUEST_H
#define BW_DAEMON_OWNER_OUTGOING_REQUEST_H

#include "bw_http/messages/http_messages.h"

#include <string>

namespace bw {

/// A caller's request in the form in which a backend server gets it.
struct outgoing_request {
  std::string Method;
  /// Path with query.
  std::string Target;
  /// End-to-end fields only.
  http_headers Headers;
  std::string Body;
};

} // namespace bw

#endif
