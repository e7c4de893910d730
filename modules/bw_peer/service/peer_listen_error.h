#ifndef BW_PEER_SERVICE_PEER_LISTEN_ERROR_H
#define BW_PEER_SERVICE_PEER_LISTEN_ERROR_H

#include "bw_core/errors/error.h"

namespace bw {

/// The listening socket cannot be opened.
class peer_listen_error : public error {
public:
  using error::error;
  std::string_view code() const override { return "peer_listen_failed"; }
};

} // namespace bw

#endif
