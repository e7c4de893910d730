#ifndef BW_DAEMON_ACCEPT_CALLER_ANSWER_H
#define BW_DAEMON_ACCEPT_CALLER_ANSWER_H

#include "bw_core/ids/units.h"
#include "bw_http/server/http_exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace bw {

class caller_sink;

struct respond_whole {
  http_response Response;
};
struct begin_stream {
  int Status = 200;
  http_headers Headers;
  std::optional<byte_count> Length;
};
struct stream_part {
  std::string Bytes;
  /// Told when the part is handed to the exchange.
  std::shared_ptr<caller_sink> From;
};
struct finish_stream {};
struct abort_stream {};

/// A step of the answer to one caller, carried out on the accept thread.
struct caller_answer {
  http_exchange_pointer Exchange;
  std::variant<respond_whole, begin_stream, stream_part, finish_stream,
               abort_stream>
      Step;
};

} // namespace bw

#endif
