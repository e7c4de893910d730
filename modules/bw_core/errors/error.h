#ifndef BW_CORE_ERRORS_ERROR_H
#define BW_CORE_ERRORS_ERROR_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace bw {

/// Root of all exceptions of the project. Each failure derives its own type
/// and carries its fields; the text is for people only.
class error : public std::runtime_error {
public:
  explicit error(const std::string &Text) : std::runtime_error(Text) {}

  /// Stable machine-readable code, for example `settings_invalid`.
  virtual std::string_view code() const = 0;
};

} // namespace bw

#endif
