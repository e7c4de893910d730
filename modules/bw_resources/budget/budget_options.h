#ifndef BW_RESOURCES_BUDGET_BUDGET_OPTIONS_H
#define BW_RESOURCES_BUDGET_BUDGET_OPTIONS_H

#include "bw_core/ids/units.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace bw {

using connection_count = strong_number<struct connection_count_tag>;
using request_count = strong_number<struct request_count_tag>;

/// What the process may use altogether. Without a value there is no limit.
struct process_limits {
  std::optional<byte_count> Memory;
  std::optional<std::uint64_t> Descriptors;
};

struct process_budget_options {
  static constexpr std::uint64_t Unlimited =
      std::numeric_limits<std::uint64_t>::max();

  connection_count CallerConnections{Unlimited};
  connection_count ServerConnections{Unlimited};
  /// Bytes of responses buffered ahead for one caller.
  byte_count ResponsesPerCaller = kibibytes(256);
  /// Bytes of responses and requests held for all callers.
  byte_count CallerBytes{Unlimited};
  /// Bytes of request bodies held for servers.
  byte_count ServerBytes{Unlimited};
  request_count OpenRequests{Unlimited};
};

/// Divides the limits of the process into budgets. `OpenRequests` and
/// `ResponsesPerCaller` do not depend on them and keep their defaults.
process_budget_options divideLimits(const process_limits &Limits);

} // namespace bw

#endif
