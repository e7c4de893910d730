#ifndef BW_OPERATIONS_ERRORS_OPERATIONS_ERRORS_H
#define BW_OPERATIONS_ERRORS_OPERATIONS_ERRORS_H

#include "bw_core/errors/error.h"

namespace bw {

/// The platform's service gave no usable answer; nothing was changed.
class platform_unavailable_error : public error {
public:
  platform_unavailable_error()
      : error("the platform's service does not answer; nothing was changed") {}
  std::string_view code() const override { return "platform_unavailable"; }
};

/// A stored object that cannot be decoded.
class stored_object_error : public error {
public:
  explicit stored_object_error(const std::string &Object)
      : error("the stored object " + Object + " cannot be decoded") {}
  std::string_view code() const override { return "stored_object_invalid"; }
};

} // namespace bw

#endif
