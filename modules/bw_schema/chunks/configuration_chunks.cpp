#include "bw_schema/chunks/configuration_chunks.h"

#include "bw_core/random/stable_hash.h"
#include "bw_schema/errors/field_fault.h"
#include "bw_schema/hash/sha256.h"
#include "bw_schema/parse/bounded_parse.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>

using namespace bw;

namespace {

// A chunk is cut before an object whose name's hash is a multiple of this, so
// that cuts stay in place when objects come and go. Callers take about 150
// bytes, hence about 75 KiB a chunk.
constexpr std::uint64_t CutModulus = 512;

// Objects have at most 128 KiB, so a chunk stays under MaxChunkBytes.
constexpr std::size_t CutBytes = 192U << 10;

std::string encode(const google::protobuf::Message &Message) {
  std::string Result;
  google::protobuf::io::StringOutputStream Stream(&Result);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.SetSerializationDeterministic(true);
  Message.SerializeToCodedStream(&Coded);
  Coded.Trim();
  return Result;
}

class chunk_builder {
public:
  template <typename Object, typename Add>
  void addAll(const google::protobuf::RepeatedPtrField<Object> &Objects,
              Add AddObject) {
    for (const Object &Each : Objects) {
      const std::size_t Bytes = Each.ByteSizeLong();
      if (stableHash(Each.name()) % CutModulus == 0 ||
          CurrentBytes + Bytes > CutBytes)
        cut();
      *AddObject(Current) = Each;
      CurrentBytes += Bytes + EnvelopeBytes;
    }
    cut();
  }

  std::vector<configuration_chunk> take() { return std::move(Chunks); }

private:
  // Tag and length before an object.
  static constexpr std::size_t EnvelopeBytes = 8;

  void cut() {
    if (CurrentBytes == 0)
      return;
    std::string Content = encode(Current);
    std::string Hash = sha256Hex(Content);
    Chunks.push_back({.Hash = std::move(Hash), .Content = std::move(Content)});
    Current.Clear();
    CurrentBytes = 0;
  }

  schema::configuration Current;
  std::size_t CurrentBytes = 0;
  std::vector<configuration_chunk> Chunks;
};

template <typename Object>
void sortByName(google::protobuf::RepeatedPtrField<Object> &Objects) {
  std::sort(Objects.pointer_begin(), Objects.pointer_end(),
            [](const Object *Left, const Object *Right) {
              return Left->name() < Right->name();
            });
}

} // namespace

chunk_error::chunk_error(const std::string &Hash, const std::string &Reason)
    : error("configuration chunk " + printable(Hash) + ": " + Reason) {}

void bw::sortConfiguration(schema::configuration &Configuration) {
  sortByName(*Configuration.mutable_services());
  sortByName(*Configuration.mutable_routes());
  sortByName(*Configuration.mutable_callers());
  sortByName(*Configuration.mutable_orders());
  for (schema::service &Service : *Configuration.mutable_services())
    sortByName(*Service.mutable_objectives());
  for (schema::handback_order &Order : *Configuration.mutable_orders()) {
    sortByName(*Order.mutable_records());
    std::sort(Order.mutable_fetch_callers()->begin(),
              Order.mutable_fetch_callers()->end());
    std::sort(Order.mutable_confirm_callers()->begin(),
              Order.mutable_confirm_callers()->end());
  }
}

std::vector<configuration_chunk>
bw::splitConfiguration(schema::configuration Configuration) {
  sortConfiguration(Configuration);
  chunk_builder Builder;
  Builder.addAll(Configuration.services(), [](schema::configuration &Into) {
    return Into.add_services();
  });
  Builder.addAll(Configuration.routes(),
                 [](schema::configuration &Into) { return Into.add_routes(); });
  Builder.addAll(Configuration.callers(), [](schema::configuration &Into) {
    return Into.add_callers();
  });
  Builder.addAll(Configuration.orders(),
                 [](schema::configuration &Into) { return Into.add_orders(); });
  return Builder.take();
}

schema::configuration
bw::joinChunks(std::span<const configuration_chunk> Chunks) {
  schema::configuration Result;
  for (const configuration_chunk &Chunk : Chunks) {
    if (sha256Hex(Chunk.Content) != Chunk.Hash)
      throw chunk_error(Chunk.Hash, "its content has another hash");
    schema::configuration Part;
    if (!parseBounded(Chunk.Content, Part))
      throw chunk_error(Chunk.Hash, "it cannot be decoded");
    // A later schema's list would be lost when the configuration is next split.
    if (!Part.GetReflection()->GetUnknownFields(Part).empty())
      throw chunk_error(Chunk.Hash, "it holds fields of another schema");
    Result.MergeFrom(Part);
  }
  Result.clear_version();
  Result.clear_change_id();
  Result.clear_applier();
  sortConfiguration(Result);
  return Result;
}
