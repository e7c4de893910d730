#ifndef BW_FORWARD_SERVERS_ANSWER_JUDGEMENT_H
#define BW_FORWARD_SERVERS_ANSWER_JUDGEMENT_H

#include "bw_forward/parser/http1_parser.h"
#include "bw_forward/servers/relay_headers.h"

#include <cstdint>
#include <string_view>

namespace bw {

enum class answer_judgement : std::uint8_t {
  Usable,       ///< May be handed to the caller.
  NotExecuted,  ///< The server did not run the request.
  OtherRequest, ///< Belongs to another request; to be skipped.
  Unusable,     ///< Not the server's own answer, or a false promise.
};

/// What the head of a server's answer means for the request with this label.
answer_judgement judgeAnswer(const http1_head &Head, std::string_view Label,
                             const relay_headers &Names);

/// True for statuses that promise that the request has not run.
bool promisesNotRun(int Status);

} // namespace bw

#endif
