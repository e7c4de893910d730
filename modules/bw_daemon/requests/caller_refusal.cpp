#include "bw_daemon/requests/caller_refusal.h"

#include <nlohmann/json.hpp>

using namespace bw;

std::string_view bw::outcomeText(request_outcome Outcome) {
  switch (Outcome) {
  case request_outcome::Done:
    return "done";
  case request_outcome::NotRun:
    return "not-run";
  case request_outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

http_response bw::outcomeResponse(int Status, request_outcome Outcome,
                                  const std::string &Code,
                                  std::chrono::milliseconds RetryAfter) {
  const nlohmann::json Body = {
      {"outcome", outcomeText(Outcome)},
      {"code", Code},
      {"safe_to_repeat", Outcome == request_outcome::NotRun},
      {"retry_after_ms", RetryAfter.count()}};
  http_response Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Headers.add(std::string(OutcomeHeader),
                       std::string(outcomeText(Outcome)));
  if (RetryAfter.count() > 0) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter);
    Response.Headers.add("Retry-After", std::to_string(Seconds.count()));
  }
  Response.Body = Body.dump() + "\n";
  return Response;
}

http_response bw::refusalResponse(const caller_refusal &Refusal) {
  return outcomeResponse(Refusal.Status, request_outcome::NotRun, Refusal.Code,
                         Refusal.RetryAfter);
}
