#include "bw_daemon/peers/wire_conversion.h"

#include <algorithm>

using namespace bw;

namespace {

std::uint64_t microseconds(duration Time) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Count));
}

// Times from other daemons are bounded before they enter arithmetic.
duration fromMicroseconds(std::uint64_t Count) {
  constexpr std::uint64_t OneDay = 86'400'000'000ULL;
  return std::chrono::microseconds(std::min(Count, OneDay));
}

template <typename Fields>
void copyHeaders(const http_headers &Headers, Fields *Into) {
  for (const http_header &Field : Headers.fields()) {
    wire::Header *Added = Into->Add();
    Added->set_name(Field.Name);
    Added->set_value(Field.Value);
  }
}

template <typename Fields> http_headers readHeaders(const Fields &Given) {
  http_headers Result;
  for (const wire::Header &Field : Given)
    Result.add(Field.name(), Field.value());
  return Result;
}

} // namespace

wire::Forward bw::toWire(const forward_attempt &Forward,
                         const outgoing_request &Request) {
  const attempt_offer &Offer = Forward.Forward.Offer;
  wire::Forward Result;
  *Result.mutable_attempt() = toWire(Offer.Attempt);
  Result.set_caller(Forward.Request.Caller.value());
  Result.set_service(Forward.Request.Service.value());
  Result.set_kind(Forward.Request.Kind.value());
  Result.set_backend_server(Forward.Forward.To.Server.value());
  Result.set_method(Request.Method);
  Result.set_path(Request.Target);
  copyHeaders(Request.Headers, Result.mutable_headers());
  Result.set_body(Request.Body);
  Result.set_remaining_deadline_us(microseconds(Offer.Remaining));
  Result.set_repeatable(Forward.Request.Repeatable);
  Result.set_long_request(Forward.Request.Long);
  Result.set_issued_ns(Offer.Issued.value());
  Result.set_despite_ejection(Forward.DespiteEjection);
  Result.set_may_wait(Forward.MayWait);
  return Result;
}

forward_offer bw::offerFromWire(const wire::Forward &Forward) {
  forward_offer Result;
  Result.Offer.Attempt = fromWire(Forward.attempt());
  Result.Offer.Issued = sender_time(Forward.issued_ns());
  Result.Offer.Remaining = fromMicroseconds(Forward.remaining_deadline_us());
  Result.Caller = caller_id(Forward.caller());
  Result.Service = service_id(Forward.service());
  Result.Kind = request_kind(Forward.kind());
  Result.Server = backend_server_id(Forward.backend_server());
  Result.Repeatable = Forward.repeatable();
  Result.Long = Forward.long_request();
  Result.DespiteEjection = Forward.despite_ejection();
  Result.MayWait = Forward.may_wait();
  return Result;
}

outgoing_request bw::requestFromWire(const wire::Forward &Forward) {
  return {Forward.method(), Forward.path(), readHeaders(Forward.headers()),
          Forward.body()};
}

wire::Relay bw::toWire(const relay_order &Order, time_point Now) {
  const entry_request &Entry = Order.Service.Entry;
  wire::Relay Result;
  *Result.mutable_request() = toWire(Order.Id);
  Result.set_caller(Entry.Caller.value());
  Result.set_service(Entry.Service.value());
  Result.set_kind(Entry.Kind.value());
  Result.set_ticket(Order.Ticket);
  Result.set_idempotency_key(Order.Key.value());
  Result.set_claim_nonce(Order.Nonce.value());
  Result.set_method(Order.Request.Method);
  Result.set_path(Order.Request.Target);
  copyHeaders(Order.Request.Headers, Result.mutable_headers());
  Result.set_body(Order.Request.Body);
  Result.set_remaining_deadline_us(microseconds(Entry.Deadline - Now));
  return Result;
}

relay_order bw::relayFromWire(const wire::Relay &Relay, time_point Now) {
  relay_order Result;
  Result.Id = fromWire(Relay.request());
  Result.Service.Entry.Caller = caller_id(Relay.caller());
  Result.Service.Entry.Service = service_id(Relay.service());
  Result.Service.Entry.Kind = request_kind(Relay.kind());
  Result.Service.Entry.Deadline =
      Now + fromMicroseconds(Relay.remaining_deadline_us());
  Result.Service.Target = Relay.path();
  Result.Request = {Relay.method(), Relay.path(), readHeaders(Relay.headers()),
                    Relay.body()};
  Result.Ticket = Relay.ticket();
  Result.Key = idempotency_key(Relay.idempotency_key());
  Result.Nonce = claim_nonce(Relay.claim_nonce());
  return Result;
}

wire::AnswerHead bw::answerHeadToWire(const request_id &Request, int Status,
                                      const http_headers &Headers) {
  wire::AnswerHead Result;
  *Result.mutable_request() = toWire(Request);
  Result.set_status(static_cast<std::uint32_t>(Status));
  copyHeaders(Headers, Result.mutable_headers());
  return Result;
}

http_headers bw::headersFromWire(const wire::AnswerHead &Head) {
  return readHeaders(Head.headers());
}

wire::End bw::toWire(const attempt_end &End) {
  wire::End Result;
  switch (End.Kind) {
  case attempt_end_kind::Complete:
    Result.set_outcome(wire::End::COMPLETE);
    break;
  case attempt_end_kind::NotRun:
    Result.set_outcome(wire::End::NOT_RUN);
    break;
  case attempt_end_kind::MayHaveRun:
    Result.set_outcome(wire::End::MAY_HAVE_RUN);
    break;
  case attempt_end_kind::NotOwner:
    Result.set_outcome(wire::End::NOT_OWNER);
    break;
  }
  Result.set_reason(End.Reason);
  Result.set_ask_host(End.RedirectTo.value());
  Result.set_free_slots(End.FreeSlots.value());
  Result.set_ejection_score(End.Score);
  Result.set_server_latency_us(microseconds(End.ServerLatency));
  Result.set_retry_after_ms(microseconds(End.RetryAfter) / 1000);
  return Result;
}

attempt_end bw::fromWire(const wire::End &End) {
  attempt_end Result;
  // What is not known to be complete or not run may have run.
  Result.Kind =
      End.outcome() == wire::End::COMPLETE    ? attempt_end_kind::Complete
      : End.outcome() == wire::End::NOT_RUN   ? attempt_end_kind::NotRun
      : End.outcome() == wire::End::NOT_OWNER ? attempt_end_kind::NotOwner
                                              : attempt_end_kind::MayHaveRun;
  Result.Reason = End.reason();
  Result.RedirectTo = host_id(End.ask_host());
  Result.FreeSlots = slot_count(End.free_slots());
  Result.Score = End.ejection_score();
  Result.ServerLatency = fromMicroseconds(End.server_latency_us());
  Result.RetryAfter = fromMicroseconds(End.retry_after_ms() * 1000);
  return Result;
}

wire::Fence bw::toWire(const fence_request &Fence) {
  wire::Fence Result;
  *Result.mutable_attempt() = toWire(Fence.Attempt);
  Result.set_issued_ns(Fence.Issued.value());
  Result.set_deadline_ns(Fence.Deadline.value());
  return Result;
}

fence_request bw::fromWire(const wire::Fence &Fence) {
  return {fromWire(Fence.attempt()), sender_time(Fence.issued_ns()),
          sender_time(Fence.deadline_ns())};
}

wire::FenceReply bw::toWire(const fence_reply &Reply) {
  wire::FenceReply Result;
  *Result.mutable_attempt() = toWire(Reply.Attempt);
  Result.set_result(wire::FenceReply::MAY_HAVE_RUN);
  if (Reply.Verdict == fence_verdict::NotRun)
    Result.set_result(wire::FenceReply::NOT_RUN);
  if (Reply.Verdict == fence_verdict::Running)
    Result.set_result(wire::FenceReply::RUNNING);
  if (Reply.Verdict != fence_verdict::Outcome)
    return Result;
  if (Reply.Outcome.Reported == request_outcome::NotRun)
    Result.set_result(wire::FenceReply::NOT_RUN);
  if (Reply.Outcome.Reported == request_outcome::Done) {
    Result.set_result(wire::FenceReply::DONE);
    Result.set_status(Reply.Outcome.Status.value());
  }
  return Result;
}

fence_reply bw::fromWire(const wire::FenceReply &Reply) {
  fence_reply Result;
  Result.Attempt = fromWire(Reply.attempt());
  switch (Reply.result()) {
  case wire::FenceReply::NOT_RUN:
    Result.Verdict = fence_verdict::NotRun;
    break;
  case wire::FenceReply::RUNNING:
    Result.Verdict = fence_verdict::Running;
    break;
  case wire::FenceReply::DONE:
    Result.Verdict = fence_verdict::Outcome;
    Result.Outcome = {
        request_outcome::Done,
        answer_status(static_cast<std::uint16_t>(Reply.status()))};
    break;
  default:
    Result.Verdict = fence_verdict::MayHaveRun;
    break;
  }
  return Result;
}

wire::Heartbeat bw::toWire(const heartbeat &Beat) {
  wire::Heartbeat Result;
  *Result.mutable_daemon() = toWire(Beat.Daemon);
  Result.set_sequence(Beat.Sequence.value());
  Result.set_state(Beat.State == host_state::Live ? wire::Heartbeat::LIVE
                                                  : wire::Heartbeat::LEAVING);
  Result.set_config_version(Beat.Version.value());
  Result.set_data_centre(Beat.DataCentre.value());
  Result.set_started(Beat.Started.value());
  Result.set_suspicion(static_cast<wire::Heartbeat::Suspicion>(
      static_cast<int>(Beat.Suspicion)));
  return Result;
}

heartbeat bw::fromWire(const wire::Heartbeat &Beat) {
  heartbeat Result;
  Result.Daemon = fromWire(Beat.daemon());
  Result.Sequence = sequence_number(Beat.sequence());
  Result.State = Beat.state() == wire::Heartbeat::LEAVING ? host_state::Leaving
                                                          : host_state::Live;
  Result.Version = config_version(Beat.config_version());
  Result.DataCentre = data_centre_id(Beat.data_centre());
  Result.Started = start_order(Beat.started());
  if (Beat.suspicion() == wire::Heartbeat::SUSPECTED)
    Result.Suspicion = host_suspicion::Suspected;
  if (Beat.suspicion() == wire::Heartbeat::DEAD)
    Result.Suspicion = host_suspicion::Dead;
  return Result;
}

wire::LatencyDigest bw::toWire(const send_digest &Message) {
  wire::LatencyDigest Result;
  Result.set_service(Message.Service.value());
  Result.set_source(Message.Digest.Source);
  for (const kind_digest &Kind : Message.Digest.Kinds) {
    wire::LatencyDigest::Kind *Added = Result.add_kinds();
    // Trailing zeros are left out.
    std::size_t Used = Kind.Latencies.size();
    while (Used > 0 && Kind.Latencies[Used - 1] == 0)
      --Used;
    for (std::size_t Band = 0; Band < Used; ++Band)
      Added->add_latencies(Kind.Latencies[Band]);
    for (const float Count : Kind.Recent)
      Added->add_recent(Count);
  }
  return Result;
}

latency_digest bw::fromWire(const wire::LatencyDigest &Digest) {
  latency_digest Result;
  Result.Source = Digest.source();
  const std::size_t KindCount = std::min<std::size_t>(
      Result.Kinds.size(), static_cast<std::size_t>(Digest.kinds_size()));
  for (std::size_t Kind = 0; Kind < KindCount; ++Kind) {
    const auto &Given = Digest.kinds(static_cast<int>(Kind));
    kind_digest &Into = Result.Kinds[Kind];
    const auto Bands =
        std::min<std::size_t>(Into.Latencies.size(),
                              static_cast<std::size_t>(Given.latencies_size()));
    for (std::size_t Band = 0; Band < Bands; ++Band)
      Into.Latencies[Band] = Given.latencies(static_cast<int>(Band));
    const auto Classes = std::min<std::size_t>(
        Into.Recent.size(), static_cast<std::size_t>(Given.recent_size()));
    for (std::size_t Class = 0; Class < Classes; ++Class)
      Into.Recent[Class] = Given.recent(static_cast<int>(Class));
  }
  return Result;
}

wire::DrainSign bw::toWire(const drain_sign &Sign) {
  wire::DrainSign Result;
  Result.set_backend_server(Sign.Server.value());
  Result.set_address(Sign.Address.value());
  Result.set_start(Sign.Start.value());
  return Result;
}

drain_sign bw::fromWire(const wire::DrainSign &Sign) {
  return {backend_server_id(Sign.backend_server()),
          server_address(Sign.address()), server_start(Sign.start())};
}
