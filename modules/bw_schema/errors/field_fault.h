#ifndef BW_SCHEMA_ERRORS_FIELD_FAULT_H
#define BW_SCHEMA_ERRORS_FIELD_FAULT_H

#include <string>
#include <string_view>

namespace bw {

/// One fault of an input: where it is and what is wrong.
struct field_fault {
  /// Empty when the input was no file.
  std::string File;
  /// From 1; 0 when not known.
  int Line = 0;
  /// For example `routes[3].deadline_ms`; in parentheses when no field is
  /// meant: `(syntax)`.
  std::string Field;
  std::string Reason;

  /// `<file>:<line>: <field>: <reason>`, without the parts not known.
  std::string text() const;
};

/// A piece of untrusted input that is safe in an error text: printable ASCII,
/// at most 64 characters.
std::string printable(std::string_view Text);

} // namespace bw

#endif
