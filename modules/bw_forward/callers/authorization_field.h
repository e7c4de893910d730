#ifndef BW_FORWARD_CALLERS_AUTHORIZATION_FIELD_H
#define BW_FORWARD_CALLERS_AUTHORIZATION_FIELD_H

#include "bw_customers/keys/presented_key.h"
#include "bw_http/messages/http_messages.h"

namespace bw {

/// Name of the field that carries the caller's credentials (RFC 9110).
inline constexpr std::string_view AuthorizationField = "Authorization";

/// Reads the key of a `Bearer` credential (RFC 6750) from a request's head.
presented_key readPresentedKey(const http_headers &Headers);

} // namespace bw

#endif
