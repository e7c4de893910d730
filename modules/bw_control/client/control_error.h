#ifndef BW_CONTROL_CLIENT_CONTROL_ERROR_H
#define BW_CONTROL_CLIENT_CONTROL_ERROR_H

#include "bw_core/errors/error.h"

namespace bw {

/// Exit codes of bwctl; scripts rely on them.
enum class exit_code : int {
  Done = 0,
  Usage = 1,
  Invalid = 2,     ///< Input or audit log has faults; nothing was changed.
  Conflict = 3,    ///< Another change won; nothing was changed.
  Unknown = 4,     ///< The call may have taken effect.
  Unavailable = 5, ///< No answer; nothing was changed.
  Refused = 6,     ///< Credential, name or call refused; nothing was changed.
};

/// A command that did not succeed; the text is for the operator.
class control_error : public error {
public:
  control_error(exit_code Exit, const std::string &Text)
      : error(Text), Exit(Exit) {}
  std::string_view code() const override { return "command_failed"; }
  exit_code exitCode() const { return Exit; }

private:
  exit_code Exit;
};

} // namespace bw

#endif
