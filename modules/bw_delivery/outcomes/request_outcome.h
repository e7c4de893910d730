#ifndef BW_DELIVERY_OUTCOMES_REQUEST_OUTCOME_H
#define BW_DELIVERY_OUTCOMES_REQUEST_OUTCOME_H

#include "bw_core/ids/strong_number.h"

#include <cstdint>

namespace bw {

/// Outcome that is reported to a caller. `NotRun` guarantees that the request
/// was not run and never will be.
enum class request_outcome { Done, NotRun, Unknown };

/// HTTP status code of a backend server's answer.
using answer_status = strong_number<struct answer_status_tag, std::uint16_t>;

/// Outcome of a finished attempt. `Status` is valid only for `Done`.
struct attempt_outcome {
  request_outcome Reported = request_outcome::Unknown;
  answer_status Status;

  friend bool operator==(const attempt_outcome &,
                         const attempt_outcome &) = default;
};

} // namespace bw

#endif
