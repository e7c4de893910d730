#ifndef BW_RESOURCES_BUDGET_CLOSE_REASON_H
#define BW_RESOURCES_BUDGET_CLOSE_REASON_H

#include <cstdint>
#include <string_view>

namespace bw {

/// Why the process closed a caller's connection by itself.
enum class close_reason : std::uint8_t {
  NoRoom,         ///< All connections of the budget are in use.
  Idle,           ///< It was idle for longest when another caller connected.
  HoldsMost,      ///< The bytes held for all callers reached their limit.
  StoppedReading, ///< It took nothing of a response for the idle time.
  SlowRequest,    ///< A request did not arrive in time.
};

inline constexpr std::uint8_t CloseReasonCount = 5;

/// Returns the name for logs and metrics, for example `no_room`.
std::string_view closeReasonName(close_reason Reason);

} // namespace bw

#endif
