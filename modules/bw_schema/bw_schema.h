/// \file
/// The schema of declarations, stored objects and operators' calls
/// (bramleywinch.proto) with its generated code, and the codecs beside it:
/// YAML and JSON to messages with file, line and field of each fault, semantic
/// validation, and splitting a configuration into content-addressed chunks.
///
/// Depends on: bw_core.
#ifndef BW_SCHEMA_BW_SCHEMA_H
#define BW_SCHEMA_BW_SCHEMA_H

#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/chunks/configuration_chunks.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/errors/field_fault.h"
#include "bw_schema/hash/sha256.h"
#include "bw_schema/json/json_codec.h"
#include "bw_schema/parse/bounded_parse.h"
#include "bw_schema/validation/configuration_validator.h"
#include "bw_schema/validation/names.h"
#include "bw_schema/yaml/configuration_files.h"
#include "bw_schema/yaml/field_locations.h"
#include "bw_schema/yaml/yaml_reader.h"
#include "bw_schema/yaml/yaml_writer.h"

#endif
