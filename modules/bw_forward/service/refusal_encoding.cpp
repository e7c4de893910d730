#include "bw_forward/service/refusal_encoding.h"

#include "bw_forward/callers/caller_exchange.h"

using namespace bw;

namespace {

int statusFor(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::NoRoute:
    return 404;
  case refusal_reason::Unauthenticated:
    return 401;
  case refusal_reason::OverAllowance:
    return 429;
  case refusal_reason::Unknown:
    return 502;
  case refusal_reason::Timeout:
    return 504;
  case refusal_reason::NoConfiguration:
  case refusal_reason::NoServer:
  case refusal_reason::NotExecuted:
  case refusal_reason::Stopping:
  case refusal_reason::NoRoom:
  case refusal_reason::Overloaded:
  case refusal_reason::ConfigurationStale:
    return 503;
  }
  return 502;
}

} // namespace

std::string bw::encodeRefusal(const refuse_request &Refusal,
                              const std::string &Label, bool ClosesConnection,
                              const relay_headers &Names) {
  const int Status = statusFor(Refusal.Reason);
  std::string Result = "HTTP/1.1 " + std::to_string(Status) + " " +
                       std::string(reasonPhrase(Status)) + "\r\n";
  if (!Label.empty())
    Result += Names.RequestLabel + ": " + Label + "\r\n";
  if (Refusal.RetryAfter)
    Result += "Retry-After: " + Names.RetryAfter(*Refusal.RetryAfter) + "\r\n";
  if (Refusal.Reason == refusal_reason::Unauthenticated)
    Result += "WWW-Authenticate: Bearer\r\n";
  if (ClosesConnection)
    Result += "Connection: close\r\n";
  return Result + "Content-Length: 0\r\n\r\n";
}
