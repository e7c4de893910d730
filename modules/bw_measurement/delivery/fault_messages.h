#ifndef BW_MEASUREMENT_DELIVERY_FAULT_MESSAGES_H
#define BW_MEASUREMENT_DELIVERY_FAULT_MESSAGES_H

#include "bw_delivery/bw_delivery.h"
#include "bw_measurement/delivery/delivery_ledger.h"

#include <functional>
#include <optional>

namespace bw {

/// One try of a caller at one entry host.
struct caller_try {
  caller_request Request;
  bool Submission = false;
  std::optional<submission_ticket> Ticket;

  submission_identity identity() const {
    return {caller_id("caller"), service_id("diary"),
            idempotency_key(std::to_string(Request.value()))};
  }
};

using outcome_reply = std::function<void(request_outcome)>;

/// What a forward carries besides the command.
struct forwarded_request {
  daemon_id Entry;
  forward_request Command;
  caller_request Request;
};

/// An answer with what only the simulation knows of it.
struct simulated_answer {
  answer_head Head;
  caller_request Truth;
  std::uint64_t Version = 0;
};

} // namespace bw

#endif
