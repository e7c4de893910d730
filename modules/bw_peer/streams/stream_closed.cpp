#include "bw_peer/streams/stream_closed.h"

std::string_view bw::name(stream_close_reason Reason) {
  switch (Reason) {
  case stream_close_reason::Completed:
    return "completed";
  case stream_close_reason::PeerGone:
    return "peer_gone";
  case stream_close_reason::Reset:
    return "reset";
  case stream_close_reason::Refused:
    return "refused";
  case stream_close_reason::TimedOut:
    return "timed_out";
  case stream_close_reason::ProtocolError:
    return "protocol_error";
  case stream_close_reason::Stopped:
    return "stopped";
  }
  return "unknown";
}
