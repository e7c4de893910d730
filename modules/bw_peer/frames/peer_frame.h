#ifndef BW_PEER_FRAMES_PEER_FRAME_H
#define BW_PEER_FRAMES_PEER_FRAME_H

#include "bw_core/errors/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bw {

/// Input from another daemon breaks the rules of the protocol or a limit.
class peer_protocol_error : public error {
public:
  using error::error;
  std::string_view code() const override { return "peer_protocol_error"; }
};

/// A frame is one type byte, the payload's length in 4 bytes, most significant
/// first, and the payload.
enum class frame_type : std::uint8_t { Head = 1, Data = 2, End = 3 };

constexpr std::size_t FrameHeaderSize = 5;

/// Appends one frame.
void appendFrame(std::string &Out, frame_type Type, std::string_view Payload);

/// Appends or reads a length in 4 bytes, most significant first.
void appendLength(std::string &Out, std::size_t Length);
std::size_t readLength(std::string_view Bytes);

} // namespace bw

#endif
