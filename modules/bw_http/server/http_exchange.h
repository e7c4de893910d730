#ifndef BW_HTTP_SERVER_HTTP_EXCHANGE_H
#define BW_HTTP_SERVER_HTTP_EXCHANGE_H

#include "bw_core/ids/units.h"
#include "bw_http/messages/http_messages.h"

#include <functional>
#include <memory>
#include <optional>

namespace bw {

/// One request of a client and its response. The response is given either by
/// `respond`, or by `begin`, any number of `write`, and `finish` or `abort`.
/// Thread-safe; calls after the end of the response have no effect. Hooks that
/// own the exchange keep it alive until its connection closes. An exchange may
/// outlive its server; it then has no effect.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual const http_request &request() const = 0;
  virtual std::string remoteAddress() const = 0;

  /// Sends a whole response.
  virtual void respond(http_response Response) = 0;

  /// Starts a streamed response. Without a length it is sent in chunks. The
  /// connection closes after it, so that `abort` can be told from an end.
  virtual void begin(int Status, http_headers Headers,
                     std::optional<byte_count> Length) = 0;

  /// Sends a part. Returns the bytes that are not yet written to the socket.
  virtual byte_count write(std::string Part) = 0;

  /// Ends a streamed response. One that is shorter than its length is seen by
  /// the client as broken off.
  virtual void finish() = 0;

  /// Breaks a streamed response off, visibly to the client.
  virtual void abort() = 0;

  /// Called on the server's thread after each write to the socket, with the
  /// bytes still unwritten. Set it before `begin`.
  virtual void setOnWritten(std::function<void(byte_count)> Hook) = 0;

  /// Called on the server's thread when the client's connection ends before
  /// the response does.
  virtual void setOnClosed(std::function<void()> Hook) = 0;
};

using http_exchange_pointer = std::shared_ptr<http_exchange>;

} // namespace bw

#endif
