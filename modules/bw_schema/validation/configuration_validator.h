#ifndef BW_SCHEMA_VALIDATION_CONFIGURATION_VALIDATOR_H
#define BW_SCHEMA_VALIDATION_CONFIGURATION_VALIDATOR_H

#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/errors/field_fault.h"

#include <vector>

namespace bw {

/// Largest encoded size of one declared object, in bytes; keeps every chunk
/// under the limit of `configuration_chunk`.
inline constexpr std::size_t MaxObjectBytes = 128U << 10;

/// Checks a whole configuration: ranges, names, duplicates, and references
/// between objects, as stated in bramleywinch.proto. Empty when it is valid;
/// at most `MaxListedFaults` faults, with field paths and no file.
std::vector<field_fault>
validateConfiguration(const schema::configuration &Configuration);

} // namespace bw

#endif
