#include "bw_schema/parse/bounded_parse.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/message.h>
#include <google/protobuf/wire_format_lite.h>

#include <limits>

using namespace bw;
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::internal::WireFormatLite;

namespace {

// An object of a message or a text, with its place in a list and what the
// allocator adds.
constexpr std::uint64_t ObjectCost = 64;
constexpr std::uint64_t MemberCost = 16;
constexpr int MaxDepth = 32;

/// Adds up what the parts of an encoded message take in memory. An empty
/// message has two bytes on the wire and a hundred times that as an object.
class message_cost {
public:
  explicit message_cost(byte_count Limit) : Limit(Limit.value()) {}

  /// Returns false if the bytes are no message, or take more than the limit.
  bool add(std::string_view Bytes, const Descriptor &Type, int Depth) {
    Cost += ObjectCost +
            MemberCost * static_cast<std::uint64_t>(Type.field_count());
    if (Depth > MaxDepth || Cost > Limit)
      return false;
    google::protobuf::io::CodedInputStream Stream(
        reinterpret_cast<const std::uint8_t *>(Bytes.data()),
        static_cast<int>(Bytes.size()));
    while (const std::uint32_t Tag = Stream.ReadTag()) {
      if (WireFormatLite::GetTagWireType(Tag) !=
          WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
        Cost += MemberCost;
        if (!WireFormatLite::SkipField(&Stream, Tag) || Cost > Limit)
          return false;
        continue;
      }
      std::uint32_t Size = 0;
      if (!Stream.ReadVarint32(&Size))
        return false;
      const auto Start = static_cast<std::size_t>(Stream.CurrentPosition());
      if (Size > Bytes.size() - Start || !Stream.Skip(static_cast<int>(Size)))
        return false;
      const FieldDescriptor *Field =
          Type.FindFieldByNumber(WireFormatLite::GetTagFieldNumber(Tag));
      const bool IsMessage =
          Field != nullptr && Field->message_type() != nullptr;
      if (IsMessage) {
        if (!add(Bytes.substr(Start, Size), *Field->message_type(), Depth + 1))
          return false;
      } else {
        // A packed list of numbers takes up to eight bytes for each of its own.
        Cost += ObjectCost + Size * (Field != nullptr && Field->is_packed()
                                         ? sizeof(std::uint64_t)
                                         : 1);
      }
      if (Cost > Limit)
        return false;
    }
    return Stream.ConsumedEntireMessage();
  }

private:
  std::uint64_t Limit;
  std::uint64_t Cost = 0;
};

} // namespace

bool bw::parseBounded(std::string_view Bytes, google::protobuf::Message &Into,
                      byte_count Limit) {
  if (Bytes.size() <= std::numeric_limits<int>::max() &&
      message_cost(Limit).add(Bytes, *Into.GetDescriptor(), 0) &&
      Into.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return true;
  Into.Clear();
  return false;
}
