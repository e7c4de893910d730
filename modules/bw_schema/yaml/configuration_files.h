#ifndef BW_SCHEMA_YAML_CONFIGURATION_FILES_H
#define BW_SCHEMA_YAML_CONFIGURATION_FILES_H

#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/yaml/field_locations.h"

#include <filesystem>
#include <string>
#include <utility>
#include <vector>

namespace bw {

/// Declarations read from files, and where each field stands.
struct declared_configuration {
  schema::configuration Message;
  field_locations Locations;
};

/// Name and text of one file.
using named_text = std::pair<std::string, std::string>;

/// Reads one file or every `*.yaml` and `*.yml` file of a directory, in the
/// order of their names, without subdirectories. Lists are joined; a version
/// may be stated once. Semantics are not checked.
/// \throws declaration_error
declared_configuration
readConfigurationFiles(const std::filesystem::path &Path);

/// The same from texts.
/// \throws declaration_error
declared_configuration
readConfigurationTexts(const std::vector<named_text> &Texts);

} // namespace bw

#endif
