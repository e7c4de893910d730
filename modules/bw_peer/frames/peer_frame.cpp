#include "bw_peer/frames/peer_frame.h"

void bw::appendLength(std::string &Out, std::size_t Length) {
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>((Length >> Shift) & 0xff));
}

std::size_t bw::readLength(std::string_view Bytes) {
  std::size_t Result = 0;
  for (std::size_t Index = 0; Index < 4; ++Index)
    Result = (Result << 8) | static_cast<unsigned char>(Bytes.at(Index));
  return Result;
}

void bw::appendFrame(std::string &Out, frame_type Type,
                     std::string_view Payload) {
  Out.push_back(static_cast<char>(Type));
  appendLength(Out, Payload.size());
  Out.append(Payload);
}
