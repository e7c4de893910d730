#include "bw_daemon/peers/stream_listener.h"

#include "bw_daemon/peers/wire_conversion.h"

using namespace bw;

namespace {

void sendAnswerHead(const peer_stream &Stream, wire::AnswerHead Answer) {
  wire::Head Head;
  *Head.mutable_answer_head() = std::move(Answer);
  Stream.sendHead(std::move(Head));
}

void sendOutcome(const peer_stream &Stream, wire::End::Outcome Outcome) {
  wire::End End;
  End.set_outcome(Outcome);
  Stream.sendEnd(std::move(End));
}

} // namespace

void stream_listener::whole(const attempt_id &Attempt, int Status,
                            http_headers Headers, std::string Body) {
  sendAnswerHead(Link->stream(),
                 answerHeadToWire(Attempt.Request, Status, Headers));
  if (!Body.empty())
    Link->write(std::move(Body));
}

void stream_listener::head(const attempt_id &Attempt, int Status,
                           http_headers Headers,
                           std::shared_ptr<answer_relay> Relay) {
  sendAnswerHead(Link->stream(),
                 answerHeadToWire(Attempt.Request, Status, Headers));
  Relay->attach(Link);
}

void stream_listener::ended(const attempt_id &, const attempt_end &End) {
  Link->stream().sendEnd(toWire(End));
}

void relay_requester::respond(http_response Response) {
  sendAnswerHead(Link->stream(),
                 answerHeadToWire({}, Response.Status, Response.Headers));
  if (!Response.Body.empty())
    Link->write(std::move(Response.Body));
  sendOutcome(Link->stream(), wire::End::COMPLETE);
}

std::shared_ptr<answer_sink> relay_requester::begin(begin_stream Head) {
  sendAnswerHead(Link->stream(),
                 answerHeadToWire({}, Head.Status, Head.Headers));
  return Link;
}

void relay_requester::finish() {
  sendOutcome(Link->stream(), wire::End::COMPLETE);
}

void relay_requester::abort() {
  sendOutcome(Link->stream(), wire::End::ABORTED);
}
