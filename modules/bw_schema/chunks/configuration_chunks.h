#ifndef BW_SCHEMA_CHUNKS_CONFIGURATION_CHUNKS_H
#define BW_SCHEMA_CHUNKS_CONFIGURATION_CHUNKS_H

#include "bw_core/errors/error.h"
#include "bw_schema/bramleywinch.pb.h"

#include <span>
#include <string>
#include <vector>

namespace bw {

/// Chunks are smaller than this.
inline constexpr std::size_t MaxChunkBytes = 256U << 10;

/// A part of a configuration, named by its content.
struct configuration_chunk {
  /// SHA-256 of the content in lower-case hexadecimal digits.
  std::string Hash;
  /// An encoded `schema::configuration` that has lists only.
  std::string Content;
};

/// A chunk whose content does not match its name or cannot be decoded.
class chunk_error : public error {
public:
  explicit chunk_error(const std::string &Hash, const std::string &Reason);
  std::string_view code() const override { return "chunk_invalid"; }
};

/// Sorts every list whose order has no meaning by name.
void sortConfiguration(schema::configuration &Configuration);

/// Splits the lists of a valid configuration. The result does not depend on
/// the order of lists, and a change of one object leaves the chunks of most
/// others as they are.
std::vector<configuration_chunk>
splitConfiguration(schema::configuration Configuration);

/// Joins chunks to a sorted configuration without version, change id and
/// applier.
/// \throws chunk_error
schema::configuration joinChunks(std::span<const configuration_chunk> Chunks);

} // namespace bw

#endif
