#include "bw_daemon/requests/requester.h"

using namespace bw;

void caller_requester::respond(http_response Response) {
  Answers.push({Exchange, respond_whole{std::move(Response)}});
}

std::shared_ptr<answer_sink> caller_requester::begin(begin_stream Head) {
  auto Sink = std::make_shared<caller_sink>(Exchange, Answers);
  Sink->begin(std::move(Head));
  return Sink;
}

void caller_requester::finish() { Answers.push({Exchange, finish_stream{}}); }

void caller_requester::abort() { Answers.push({Exchange, abort_stream{}}); }
