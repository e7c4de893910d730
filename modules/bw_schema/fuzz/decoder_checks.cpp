#include "bw_schema/fuzz/decoder_checks.h"

#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/chunks/configuration_chunks.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/hash/sha256.h"
#include "bw_schema/json/json_codec.h"
#include "bw_schema/validation/configuration_validator.h"
#include "bw_schema/yaml/yaml_reader.h"
#include "bw_schema/yaml/yaml_writer.h"

#include <cstdlib>

using namespace bw;

namespace {

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

bool isSame(const schema::configuration &Left,
            const schema::configuration &Right) {
  return Left.SerializeAsString() == Right.SerializeAsString();
}

} // namespace

void bw::checkYamlDecoder(std::string_view Input) {
  schema::configuration Message;
  field_locations Locations;
  try {
    parseYaml(std::string(Input), "f", Message, Locations);
  } catch (const declaration_error &Error) {
    require(!Error.faults().empty() && Message.ByteSizeLong() == 0);
    return;
  }
  validateConfiguration(Message);
  schema::configuration Again;
  parseYaml(formatYaml(Message), "g", Again, Locations);
  require(isSame(Message, Again));
}

void bw::checkJsonDecoder(std::string_view Input) {
  schema::configuration Message;
  try {
    parseJson(Input, "f", Message);
  } catch (const declaration_error &Error) {
    require(!Error.faults().empty() && Message.ByteSizeLong() == 0);
    return;
  }
  validateConfiguration(Message);
  const std::string Text = formatJson(Message);
  schema::configuration Again;
  parseJson(Text, "g", Again);
  // protobuf reads -0 as 0 and then leaves it out; validation refuses it.
  const bool HasNegativeZero = Text.find(":-0,") != std::string::npos ||
                               Text.find(":-0}") != std::string::npos;
  require(HasNegativeZero || isSame(Message, Again));
}

void bw::checkChunkDecoder(std::string_view Input) {
  const configuration_chunk Chunk{.Hash = sha256Hex(Input),
                                  .Content = std::string(Input)};
  schema::configuration Message;
  try {
    Message = joinChunks({&Chunk, 1});
  } catch (const chunk_error &) {
    return;
  }
  if (!validateConfiguration(Message).empty())
    return;
  const auto Chunks = splitConfiguration(Message);
  require(isSame(Message, joinChunks(Chunks)));
}
