#include "bw_operations/configuration/chunk_store.h"

#include "bw_operations/errors/operations_errors.h"

using namespace bw;

namespace {

// Each try that fails has met another operator's write or a lost answer.
constexpr int MaxTries = 5;

object_key keyOf(const std::string &Hash) {
  return {.Kind = "configuration_chunk", .Name = Hash};
}

} // namespace

std::optional<chunk_store::loaded_chunks>
chunk_store::load(const std::vector<std::string> &Hashes) {
  loaded_chunks Result;
  for (const std::string &Hash : Hashes) {
    read_answer Answer = Store.Read(keyOf(Hash));
    if (Answer.Outcome == read_outcome::Unavailable)
      throw platform_unavailable_error();
    if (Answer.Outcome == read_outcome::Absent)
      return std::nullopt;
    Result.Positions.emplace(Hash, Answer.Object.Position);
    Result.Chunks.push_back(
        {.Hash = Hash, .Content = std::move(Answer.Object.Value)});
  }
  return Result;
}

std::optional<object_position>
chunk_store::tryPut(const configuration_chunk &Chunk) {
  const object_key Key = keyOf(Chunk.Hash);
  const write_answer Created = Store.Create(Key, Chunk.Content);
  if (Created.Outcome == write_outcome::Stored)
    return Created.Position;
  if (Created.Outcome != write_outcome::VersionConflict &&
      Created.Outcome != write_outcome::AnswerLost)
    throw platform_unavailable_error();
  const read_answer Read = Store.Read(Key);
  if (Read.Outcome == read_outcome::Unavailable)
    throw platform_unavailable_error();
  if (Read.Outcome == read_outcome::Absent)
    return std::nullopt;
  const write_answer Touched =
      Store.Update(Key, Chunk.Content, Read.Object.Position);
  if (Touched.Outcome == write_outcome::Stored)
    return Touched.Position;
  return std::nullopt;
}

object_position chunk_store::put(const configuration_chunk &Chunk) {
  for (int Try = 0; Try < MaxTries; ++Try)
    if (const auto Position = tryPut(Chunk))
      return *Position;
  throw platform_unavailable_error();
}

void chunk_store::removeAll(const chunk_positions &Positions) {
  for (const auto &[Hash, Position] : Positions)
    Store.Remove(keyOf(Hash), Position);
}
