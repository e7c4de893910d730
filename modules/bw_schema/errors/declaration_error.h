#ifndef BW_SCHEMA_ERRORS_DECLARATION_ERROR_H
#define BW_SCHEMA_ERRORS_DECLARATION_ERROR_H

#include "bw_core/errors/error.h"
#include "bw_schema/errors/field_fault.h"

#include <vector>

namespace bw {

/// Most faults that one error lists, so that hostile input cannot make it
/// grow without bound.
inline constexpr std::size_t MaxListedFaults = 100;

/// An input that cannot be used, with at least one fault. The text holds one
/// line for each.
class declaration_error : public error {
public:
  explicit declaration_error(std::vector<field_fault> Faults);
  std::string_view code() const override { return "declaration_invalid"; }

  const std::vector<field_fault> &faults() const { return Faults; }

private:
  std::vector<field_fault> Faults;
};

} // namespace bw

#endif
