#include "bw_peer/frames/frame_reader.h"

#include <algorithm>

using namespace bw;

namespace {

void checkHeaders(
    const google::protobuf::RepeatedPtrField<wire::Header> &Headers,
    const peer_limits &Limits) {
  if (std::size_t(Headers.size()) > Limits.HeaderCount)
    throw peer_protocol_error("message with too many headers");
  std::uint64_t Size = 0;
  for (const wire::Header &Header : Headers)
    Size += Header.name().size() + Header.value().size();
  if (Size > Limits.Headers.value())
    throw peer_protocol_error("message with headers over the limit");
}

void checkHead(const wire::Head &Head, const peer_limits &Limits) {
  switch (Head.message_case()) {
  case wire::Head::MESSAGE_NOT_SET:
    throw peer_protocol_error("head without a known message");
  case wire::Head::kForward:
    return checkHeaders(Head.forward().headers(), Limits);
  case wire::Head::kRelay:
    return checkHeaders(Head.relay().headers(), Limits);
  case wire::Head::kAnswerHead:
    return checkHeaders(Head.answer_head().headers(), Limits);
  case wire::Head::kAskSubmissionReply:
    return checkHeaders(Head.ask_submission_reply().answer().headers(), Limits);
  default:
    return;
  }
}

} // namespace

frame_reader::frame_reader(frame_direction Direction, const peer_limits &Limits,
                           frame_hooks Hooks)
    : Direction(Direction), Limits(Limits), Hooks(std::move(Hooks)) {}

std::size_t frame_reader::receive(std::string_view Bytes) {
  std::size_t DataBytes = 0;
  while (!Bytes.empty())
    DataBytes += step(Bytes);
  return DataBytes;
}

void frame_reader::finish() const {
  if (!isComplete())
    throw peer_protocol_error("stream closed before its last message");
}

std::size_t frame_reader::step(std::string_view &Bytes) {
  if (!InFrame) {
    collect(Bytes, FrameHeaderSize);
    if (Buffer.size() == FrameHeaderSize)
      startFrame();
    return 0;
  }
  if (Type == frame_type::Data)
    return passData(Bytes);
  collect(Bytes, Left);
  if (Buffer.size() == Left)
    finishMessage();
  return 0;
}

void frame_reader::startFrame() {
  const auto Found = static_cast<frame_type>(Buffer[0]);
  checkOrder(Found);
  Left = readLength(std::string_view(Buffer).substr(1));
  if (Left > limitOf(Found))
    throw peer_protocol_error("frame of " + std::to_string(Left) +
                              " bytes is over the limit");
  Type = Found;
  Buffer.clear();
  InFrame = true;
  if (Left > 0)
    return;
  if (Type == frame_type::Data)
    InFrame = false;
  else
    finishMessage();
}

void frame_reader::checkOrder(frame_type Found) const {
  const bool Answer = Direction == frame_direction::Answer;
  switch (Found) {
  case frame_type::Head:
    if (State == state::BeforeHead)
      return;
    break;
  case frame_type::Data:
    if (State == state::AfterHead && Answer)
      return;
    break;
  case frame_type::End:
    if (State != state::Complete && Answer)
      return;
    break;
  }
  throw peer_protocol_error("unexpected frame of type " +
                            std::to_string(static_cast<unsigned>(Found)));
}

std::size_t frame_reader::limitOf(frame_type Found) const {
  switch (Found) {
  case frame_type::Head:
    return Limits.HeadFrame.value();
  case frame_type::Data:
    return Limits.DataFrame.value();
  case frame_type::End:
    return Limits.EndFrame.value();
  }
  return 0;
}

std::size_t frame_reader::passData(std::string_view &Bytes) {
  const std::size_t Step = std::min(Bytes.size(), Left);
  Hooks.OnData(Bytes.substr(0, Step));
  Bytes.remove_prefix(Step);
  Left -= Step;
  InFrame = Left > 0;
  return Step;
}

void frame_reader::collect(std::string_view &Bytes, std::size_t Wanted) {
  const std::size_t Step = std::min(Bytes.size(), Wanted - Buffer.size());
  Buffer.append(Bytes.substr(0, Step));
  Bytes.remove_prefix(Step);
}

void frame_reader::finishMessage() {
  InFrame = false;
  if (Type == frame_type::Head)
    takeHead();
  else
    takeEnd();
}

void frame_reader::takeHead() {
  wire::Head Head;
  if (!Head.ParseFromString(Buffer))
    throw peer_protocol_error("head that is no valid message");
  // Swapping gives the memory of a large body back at once.
  std::string().swap(Buffer);
  checkHead(Head, Limits);
  State = Direction == frame_direction::Request ? state::Complete
                                                : state::AfterHead;
  Hooks.OnHead(std::move(Head));
}

void frame_reader::takeEnd() {
  wire::End End;
  if (!End.ParseFromString(Buffer))
    throw peer_protocol_error("end that is no valid message");
  Buffer.clear();
  if (End.outcome() == wire::End::OUTCOME_UNSPECIFIED ||
      !wire::End::Outcome_IsValid(End.outcome()))
    throw peer_protocol_error("end without a known outcome");
  State = state::Complete;
  Hooks.OnEnd(End);
}
