#ifndef BW_STAND_INS_RELAY_RELAY_COMMAND_H
#define BW_STAND_INS_RELAY_RELAY_COMMAND_H

#include "bw_core/errors/error.h"
#include "bw_stand_ins/relay/relay_faults.h"

#include <string_view>

namespace bw {

/// A line of the control port that is no command.
class relay_command_error : public error {
public:
  using error::error;
  std::string_view code() const override { return "relay_command_invalid"; }
};

enum class relay_action {
  SetFaults, ///< Only the faults change.
  HalfOpen,  ///< Existing connections take data and drop it, for good.
  Cut,       ///< Existing connections are reset.
  Status,
};

/// The commands, one a line, for `--help`.
extern const char *const RelayCommandHelp;

/// Reads one line and applies what it says to `Faults`.
/// \throws relay_command_error, and then changes nothing
relay_action applyRelayCommand(std::string_view Line, relay_faults &Faults);

} // namespace bw

#endif
