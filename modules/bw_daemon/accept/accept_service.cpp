#include "bw_daemon/accept/accept_service.h"

#include "bw_daemon/accept/caller_sink.h"

using namespace bw;

accept_service::accept_service(runtime_clock &Clock,
                               const accept_service_options &Options)
    : service(std::string(ServiceName)), OnRequest(Options.OnRequest),
      Server({.Address = Options.Address,
              .Port = Options.Port,
              .MaxBody = Options.MaxBody,
              .Budget = divideLimits(Options.Limits),
              .OnRequest =
                  [this](http_exchange_pointer Exchange) {
                    OnRequest(std::move(Exchange));
                  }}),
      Answers(Clock, {.Capacity = 16'384,
                      // An answer that is dropped would hang its caller.
                      .Overflow = overflow_policy::Block,
                      .OnReady = [this] {
                        if (!IsWoken.exchange(true))
                          Server.post([this] { takeAnswers(); });
                      }}) {}

void accept_service::setOnRequest(
    std::function<void(http_exchange_pointer)> Hook) {
  OnRequest = std::move(Hook);
}

void accept_service::attach(service_registry &) {}

void accept_service::start() { Server.start(); }

void accept_service::stop() {
  Answers.close();
  Server.stop();
}

void accept_service::takeAnswers() {
  // Cleared first: an answer that is pushed from now on wakes the thread anew.
  IsWoken = false;
  while (auto Answer = Answers.tryPop())
    carryOut(std::move(*Answer));
}

namespace {

struct answer_writer {
  http_exchange &Exchange;

  void operator()(respond_whole &Step) {
    Exchange.respond(std::move(Step.Response));
  }
  void operator()(begin_stream &Step) {
    Exchange.begin(Step.Status, std::move(Step.Headers), Step.Length);
  }
  void operator()(stream_part &Step) {
    Step.From->handedOver(Step.Bytes.size());
    Exchange.write(std::move(Step.Bytes));
  }
  void operator()(finish_stream &) { Exchange.finish(); }
  void operator()(abort_stream &) { Exchange.abort(); }
};

} // namespace

void accept_service::carryOut(caller_answer Answer) {
  std::visit(answer_writer{*Answer.Exchange}, Answer.Step);
}
