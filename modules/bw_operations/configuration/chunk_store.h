#ifndef BW_OPERATIONS_CONFIGURATION_CHUNK_STORE_H
#define BW_OPERATIONS_CONFIGURATION_CHUNK_STORE_H

#include "bw_platform/objects/object_store.h"
#include "bw_schema/chunks/configuration_chunks.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// Chunks by hash with the position of their objects.
using chunk_positions = std::map<std::string, object_position>;

/// Configuration chunks as objects of the platform's service.
class chunk_store {
public:
  /// `Store` must outlive this object.
  explicit chunk_store(const object_store &Store) : Store(Store) {}

  struct loaded_chunks {
    std::vector<configuration_chunk> Chunks;
    chunk_positions Positions;
  };

  /// Reads chunks by their hashes; nothing when one is absent, since a newer
  /// head has replaced it.
  /// \throws platform_unavailable_error
  std::optional<loaded_chunks> load(const std::vector<std::string> &Hashes);

  /// Writes a chunk and returns its object's position. One that exists already
  /// is written again, so that its version changes and a removal that was
  /// decided earlier has no effect.
  /// \throws platform_unavailable_error
  object_position put(const configuration_chunk &Chunk);

  /// Removes chunks that are still at these positions. What cannot be removed
  /// stays behind without harm.
  void removeAll(const chunk_positions &Positions);

private:
  std::optional<object_position> tryPut(const configuration_chunk &Chunk);

  const object_store &Store;
};

} // namespace bw

#endif
