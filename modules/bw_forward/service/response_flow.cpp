#include "bw_forward/service/response_flow.h"

#include "bw_forward/callers/caller_connection.h"

using namespace bw;

read_permission response_flow::mayRead(const server_attempt &Attempt) const {
  const auto Caller = Attempt.Exchange->Connection.lock();
  if (!Caller)
    return read_permission::Read;
  const bool IsNext = Caller->isNext(*Attempt.Exchange);
  std::size_t Own = Attempt.Body.size();
  if (IsNext && Attempt.IsRelaying)
    Own += Attempt.Exchange->Output.size() + Caller->writingBytes();
  if (!Budget.pausesResponse(Caller->number(), byte_count(Own), IsNext))
    return read_permission::Read;
  return IsNext ? read_permission::WaitAndRelay : read_permission::Wait;
}

void response_flow::received(const server_attempt &Attempt) {
  caller_exchange &Exchange = *Attempt.Exchange;
  if (Attempt.HasHead && !Exchange.IsResponseLong &&
      isLong(Attempt.Head.ContentLength.value_or(0)))
    noteLong(Exchange);
  if (const auto Caller = Exchange.Connection.lock())
    Caller->updateBudget();
}

void response_flow::relayBegins(const server_attempt &Attempt) {
  caller_exchange &Exchange = *Attempt.Exchange;
  if (isLong(Attempt.Body.size()))
    noteLong(Exchange);
  else if (Attempt.IsComplete)
    LongResponses.responded(Exchange.Head, false);
  Exchange.IsResponseLong = !Attempt.IsComplete;
}

void response_flow::noteLong(caller_exchange &Exchange) {
  Exchange.IsResponseLong = true;
  LongResponses.responded(Exchange.Head, true);
}
