#ifndef BW_GATEWAY_DAEMON_PEERS_WIRE_FIELDS_H
#define BW_GATEWAY_DAEMON_PEERS_WIRE_FIELDS_H

#include <cstdint>
#include <functional>
#include <string_view>

namespace bw {

/// Receives the fields of an encoded protobuf message, in their order.
struct wire_field_hooks {
  /// A field of a whole number or of a boolean.
  std::function<void(int Field, std::uint64_t Value)> OnNumber =
      [](int, std::uint64_t) {};
  std::function<void(int Field, double Value)> OnDouble = [](int, double) {};
  /// A text, bytes or an encoded message. The view ends with the call.
  std::function<void(int Field, std::string_view Value)> OnBytes =
      [](int, std::string_view) {};
};

/// Reads a message field by field, so that no more than one of its entries is
/// held as an object. Skips fields of other types.
/// \throws exchange_error if the message is not valid
void readWireFields(std::string_view Bytes, const wire_field_hooks &Hooks);

} // namespace bw

#endif
