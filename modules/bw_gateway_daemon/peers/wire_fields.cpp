#include "bw_gateway_daemon/peers/wire_fields.h"

#include "bw_gateway_daemon/peers/exchange_messages.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

using namespace bw;
using google::protobuf::internal::WireFormatLite;

void bw::readWireFields(std::string_view Bytes, const wire_field_hooks &Hooks) {
  google::protobuf::io::CodedInputStream Stream(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()),
      static_cast<int>(Bytes.size()));
  const auto Require = [](bool Condition) {
    if (!Condition)
      throw exchange_error("not a valid protobuf message");
  };
  while (const std::uint32_t Tag = Stream.ReadTag()) {
    const int Field = WireFormatLite::GetTagFieldNumber(Tag);
    Require(Field > 0);
    switch (WireFormatLite::GetTagWireType(Tag)) {
    case WireFormatLite::WIRETYPE_VARINT: {
      std::uint64_t Value = 0;
      Require(Stream.ReadVarint64(&Value));
      Hooks.OnNumber(Field, Value);
      break;
    }
    case WireFormatLite::WIRETYPE_FIXED64: {
      std::uint64_t Value = 0;
      Require(Stream.ReadLittleEndian64(&Value));
      Hooks.OnDouble(Field, WireFormatLite::DecodeDouble(Value));
      break;
    }
    case WireFormatLite::WIRETYPE_LENGTH_DELIMITED: {
      std::uint32_t Size = 0;
      Require(Stream.ReadVarint32(&Size));
      const auto Start = static_cast<std::size_t>(Stream.CurrentPosition());
      Require(Size <= Bytes.size() - Start &&
              Stream.Skip(static_cast<int>(Size)));
      Hooks.OnBytes(Field, Bytes.substr(Start, Size));
      break;
    }
    default:
      Require(WireFormatLite::SkipField(&Stream, Tag));
    }
  }
  Require(Stream.ConsumedEntireMessage());
}
