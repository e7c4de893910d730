#ifndef BW_LIMITS_LIMITS_ERROR_H
#define BW_LIMITS_LIMITS_ERROR_H

#include "bw_core/errors/error.h"

namespace bw {

/// Thrown when an attempt is offered that is already waiting or in flight. It
/// cannot be reported as refused, since a refusal means that it was not run.
class attempt_already_offered : public error {
public:
  explicit attempt_already_offered(const std::string &Attempt)
      : error("attempt " + Attempt + " was offered twice"), Attempt(Attempt) {}

  std::string_view code() const override { return "attempt_already_offered"; }

  const std::string Attempt;
};

} // namespace bw

#endif
