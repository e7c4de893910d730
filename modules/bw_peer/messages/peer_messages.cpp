#include "bw_peer/messages/peer_messages.h"

bw::wire::DaemonId bw::toWire(const daemon_id &Id) {
  wire::DaemonId Result;
  Result.set_host(Id.Host.value());
  Result.set_incarnation(Id.Incarnation.value());
  return Result;
}

bw::wire::RequestId bw::toWire(const request_id &Id) {
  wire::RequestId Result;
  *Result.mutable_entry() = toWire(Id.Entry);
  Result.set_sequence(Id.Sequence.value());
  return Result;
}

bw::wire::AttemptId bw::toWire(const attempt_id &Id) {
  wire::AttemptId Result;
  *Result.mutable_request() = toWire(Id.Request);
  Result.set_attempt(Id.Attempt.value());
  return Result;
}

bw::daemon_id bw::fromWire(const wire::DaemonId &Id) {
  return {.Host = host_id(Id.host()),
          .Incarnation = incarnation_id(Id.incarnation())};
}

bw::request_id bw::fromWire(const wire::RequestId &Id) {
  return {.Entry = fromWire(Id.entry()),
          .Sequence = sequence_number(Id.sequence())};
}

bw::attempt_id bw::fromWire(const wire::AttemptId &Id) {
  return {.Request = fromWire(Id.request()),
          .Attempt = sequence_number(Id.attempt())};
}
