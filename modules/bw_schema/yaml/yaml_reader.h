#ifndef BW_SCHEMA_YAML_YAML_READER_H
#define BW_SCHEMA_YAML_YAML_READER_H

#include "bw_schema/yaml/field_locations.h"

#include <string>

namespace google::protobuf {
class Message;
}

namespace bw {

/// Largest YAML text that is read, in bytes.
inline constexpr std::size_t MaxYamlBytes = 32U << 20;
/// Most values of one text, counted where aliases use them. A text may not
/// have more values than characters either: only an alias repeated many times
/// gives that, and with it a small text could take up gigabytes.
inline constexpr std::size_t MaxYamlValues = 1'000'000;

/// Fills an empty message from a YAML mapping by reflection and records where
/// each field stands. `Name` stands for the file in errors. Unknown and
/// repeated fields, values of another type and lists in place of values are
/// refused; the semantics of values are not checked.
/// \throws declaration_error with every fault found; the message is then empty
void parseYaml(const std::string &Text, const std::string &Name,
               google::protobuf::Message &Into, field_locations &Locations);

} // namespace bw

#endif
