#include "bw_forward/service/open_requests.h"

#include "bw_forward/servers/server_connection.h"

#include <utility>

using namespace bw;

namespace {

void closeConnection(server_attempt &Attempt) {
  if (const auto Connection = std::exchange(Attempt.Connection, nullptr))
    Connection->close();
}

} // namespace

void open_requests::open(const exchange_pointer &Exchange) {
  Requests.emplace(Exchange->Number,
                   open_request{.Exchange = Exchange, .Attempts = {}});
}

void open_requests::close(request_number Request) {
  auto Closed = Requests.extract(Request);
  if (Closed.empty())
    return;
  for (const attempt_pointer &Each : Closed.mapped().Attempts)
    closeConnection(*Each);
}

exchange_pointer open_requests::find(request_number Request) const {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : Found->second.Exchange;
}

attempt_pointer open_requests::find(request_number Request,
                                    attempt_number Number) const {
  const auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return nullptr;
  for (const attempt_pointer &Each : Found->second.Attempts)
    if (Each->Number == Number)
      return Each;
  return nullptr;
}

std::vector<attempt_pointer>
open_requests::attempts(request_number Request) const {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? std::vector<attempt_pointer>()
                                 : Found->second.Attempts;
}

void open_requests::add(const attempt_pointer &Attempt) {
  Requests.at(Attempt->Request).Attempts.push_back(Attempt);
}

void open_requests::cancel(request_number Request, attempt_number Number) {
  const attempt_pointer Attempt = find(Request, Number);
  if (!Attempt)
    return;
  std::erase(Requests.at(Request).Attempts, Attempt);
  closeConnection(*Attempt);
}

attempt_holding open_requests::held(request_number Request) const {
  attempt_holding Result;
  const auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return Result;
  for (const attempt_pointer &Each : Found->second.Attempts) {
    Result.ResponseMemory += memoryOf(Each->Body) + memoryOf(Each->Head);
    Result.ResponseBytes += Each->Body.size();
    if (Each->Connection)
      Result.RequestMemory += Each->Connection->outputMemory();
  }
  return Result;
}
