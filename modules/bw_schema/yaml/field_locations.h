#ifndef BW_SCHEMA_YAML_FIELD_LOCATIONS_H
#define BW_SCHEMA_YAML_FIELD_LOCATIONS_H

#include "bw_schema/errors/field_fault.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bw {

/// Place of a field in an operator's file.
struct field_location {
  std::string File;
  /// From 1.
  int Line = 0;
  /// Path of the field within its file.
  std::string Field;
};

/// Maps field paths of a message to the places that they were read from.
class field_locations {
public:
  void add(std::string Path, field_location Location);

  /// The place of the field, or else of the closest field that holds it;
  /// nullptr when none is known.
  const field_location *find(std::string_view Path) const;

  /// Fills file, line and the field's path in its file, where known.
  void locate(field_fault &Fault) const;

  const std::map<std::string, field_location, std::less<>> &all() const {
    return Locations;
  }

private:
  std::map<std::string, field_location, std::less<>> Locations;
};

} // namespace bw

#endif
