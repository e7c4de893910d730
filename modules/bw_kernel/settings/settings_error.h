#ifndef BW_KERNEL_SETTINGS_SETTINGS_ERROR_H
#define BW_KERNEL_SETTINGS_SETTINGS_ERROR_H

#include "bw_core/errors/error.h"

#include <string>

namespace bw {

/// A settings file that cannot be used. Names file, line (from 1; 0 when the
/// file as a whole is meant) and key.
class settings_error : public error {
public:
  settings_error(std::string File, int Line, std::string Key,
                 std::string Reason);
  std::string_view code() const override { return "settings_invalid"; }

  const std::string &file() const { return File; }
  int line() const { return Line; }
  const std::string &key() const { return Key; }
  const std::string &reason() const { return Reason; }

private:
  std::string File;
  int Line;
  std::string Key;
  std::string Reason;
};

} // namespace bw

#endif
