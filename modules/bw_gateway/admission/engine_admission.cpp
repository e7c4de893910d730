#include "bw_gateway/engine/gateway_engine.h"

using namespace bw;

admission_request
gateway_engine::admissionOf(request_number Number,
                            const request_state &Request) const {
  return {.Number = Number,
          .Label = Request.Label,
          .Service = Request.Service,
          .Urgency = urgency(Request.Priority),
          .Customer = Request.Customer ? Request.Customer->Name : customer_id(),
          .Arrived = Request.Arrived,
          .Deadline = Request.Deadline,
          .Target = Request.Route->TargetLatency.value_or(Request.Deadline -
                                                          Request.Arrived),
          .ServiceTime = Times.work(Request.Route->Id).value_or(duration())};
}

void gateway_engine::serveWaiting(time_point Now, commands &Out) {
  if (Waiting.empty())
    return;
  using result = request_admission::start_result;
  Waiting.serve(
      Now,
      {.Start =
           [&](request_number Number, const server_filter &Filter) {
             request_state &Request = Requests.at(Number);
             if (startAttempt(Number, Request, request_step::Sent, Now, Out,
                              Filter))
               return result::Started;
             return !Request.KeyRefusal && Pool.wasFull() ? result::NoRoom
                                                          : result::NoServer;
           },
       .Refuse =
           [&](request_number Number, refusal_reason Reason,
               std::optional<duration> RetryAfter) {
             const auto Found = Requests.find(Number);
             // The key was withdrawn, or the configuration became stale, while
             // the request waited.
             if (const auto KeyRefusal = Found->second.KeyRefusal)
               return refuse(Found, *KeyRefusal, Now, Out);
             refuse(Found, Reason, Now, Out, RetryAfter);
           },
       .Load =
           [&](const service_id &Service) { return Pool.load(Service, Now); },
       .OwnInFlight =
           [&](const service_id &Service) { return Pool.ownInFlight(Service); },
       .LoadReported = Pool.loadAge().last(),
       .LoadInterval = Pool.loadAge().interval()});
}

void gateway_engine::recordTime(const request_state &Request,
                                const attempt &Ended, time_point Now) {
  const std::optional<duration> Usual = Times.work(Request.Route->Id);
  const duration Taken = Times.record(Request.Service, Request.Route->Id,
                                      Now - Ended.Started, Ended.Load);
  // How long a request waits at a busy server is only estimated. A server whose
  // wait was overestimated would seem fast, get more requests, and seem faster.
  if (Ended.Load.InFlight < Ended.Load.Slots.value())
    Pool.recordSpeed(Ended.Server, Taken, Usual.value_or(duration()));
  Pool.setServiceTime(Request.Service,
                      Times.work(Request.Service).value_or(duration()));
}

// Answers many hosts, each of which holds one token at most: while servers
// decline more requests than the budget can repeat, patient requests, which are
// most, would take the token each time, and declined urgent ones would be late.
bool gateway_engine::leavesTokens(const request_state &Request) const {
  if (Waiting.isMostUrgent(urgency(Request.Priority)))
    return false;
  const auto Declined = DeclinedShares.find(Request.Service);
  return Declined != DeclinedShares.end() &&
         Declined->second > tokensPerRequest();
}
