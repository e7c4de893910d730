#include "bw_daemon/requests/request_intake.h"

#include <algorithm>
#include <charconv>
#include <vector>

using namespace bw;

namespace {

constexpr std::string_view OrdersPrefix = "/orders/";
constexpr std::string_view TicketsPath = "/bw/v1/tickets";
constexpr std::string_view SubmissionsPrefix = "/bw/v1/submissions/";
constexpr std::string_view RecordsTarget = "/records/";
constexpr std::chrono::seconds RecordDeadline{30};
// Callers without declared limits; high enough for fair shares to decide.
constexpr caller_limit UndeclaredLimit{10'000, 10'000};

std::vector<std::string_view> splitPath(std::string_view Path) {
  std::vector<std::string_view> Parts;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const std::size_t End = std::min(Path.find('/'), Path.size());
    Parts.push_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Parts;
}

// A caller may shorten the deadline of a route and never extend it.
duration deadlineOf(const http_request &Request, duration Declared) {
  const auto Text = Request.Headers.find("Deadline-Ms");
  std::uint32_t Milliseconds = 0;
  if (!Text)
    return Declared;
  const char *End = Text->data() + Text->size();
  const auto [Stop, Error] = std::from_chars(Text->data(), End, Milliseconds);
  if (Error != std::errc() || Stop != End)
    return Declared;
  return std::min<duration>(Declared, std::chrono::milliseconds(Milliseconds));
}

// Dot segments could lead a backend server to another path than the one that
// the route or the order was checked for.
bool hasDotSegment(std::string_view Path) {
  const auto Parts = splitPath(Path);
  return std::any_of(Parts.begin(), Parts.end(), [](std::string_view Part) {
    return Part == "." || Part == "..";
  });
}

bool isPlainPath(std::string_view Path) {
  const bool HasOddCharacter =
      std::any_of(Path.begin(), Path.end(), [](unsigned char Character) {
        return Character <= ' ' || Character >= 0x7f || Character == '\\' ||
               Character == '#';
      });
  return Path.starts_with('/') && !HasOddCharacter && !hasDotSegment(Path) &&
         // An encoded dot or slash is decoded by some servers and not by
         // others.
         Path.find("%2e") == Path.npos && Path.find("%2E") == Path.npos &&
         Path.find("%2f") == Path.npos && Path.find("%2F") == Path.npos;
}

caller_refusal credentialRefusal(credential_outcome Outcome) {
  if (Outcome == credential_outcome::Missing)
    return {401, "credential_missing"};
  if (Outcome == credential_outcome::Malformed)
    return {401, "credential_malformed"};
  return {401, "credential_refused"};
}

} // namespace

void request_intake::setCatalogue(catalogue_pointer Given) {
  Catalogue = std::move(Given);
  Limiter.emplace(caller_limiter_options{
      .LimitOf = [Source = Catalogue](const caller_id &Caller) {
        const auto Found = Source->Limits.find(Caller);
        return Found == Source->Limits.end() ? UndeclaredLimit : Found->second;
      }});
}

intake_result request_intake::examine(const http_request &Request,
                                      const request_id &Id, time_point Now) {
  if (!Catalogue)
    return caller_refusal{503, "not_ready", std::chrono::seconds(1)};
  if (!isPlainPath(Request.Path))
    return caller_refusal{400, "path_malformed"};
  const credential_result Credential =
      Catalogue->Callers.check(Request.Headers.find("Authorization"));
  if (Credential.Outcome != credential_outcome::Valid)
    return credentialRefusal(Credential.Outcome);
  const caller_id Caller(Credential.Name);
  const rate_limit_result Verdict = Limiter->offer(Caller, Now);
  if (!Verdict.Allowed)
    return caller_refusal{
        429, "rate_limited",
        std::chrono::ceil<std::chrono::milliseconds>(Verdict.RetryAfter)};
  const std::string_view Path = Request.Path;
  if (Path.starts_with(OrdersPrefix))
    return examineOrder(Request, Id, Caller, Now);
  if (Path == TicketsPath)
    return examineTicket(Request, Caller);
  if (Path.starts_with(SubmissionsPrefix) && Request.Method == "GET")
    return status_request{Caller,
                          std::string(Path.substr(SubmissionsPrefix.size()))};
  return examineRoute(Request, Id, Caller, Now);
}

intake_result request_intake::examineTicket(const http_request &Request,
                                            const caller_id &Caller) const {
  if (Request.Method != "POST")
    return caller_refusal{405, "method_not_allowed"};
  const service_id Service(Request.queryParameter("service").value_or(""));
  const auto &Services = Catalogue->Services;
  const bool IsKnown =
      std::any_of(Services.begin(), Services.end(),
                  [&](const auto &Known) { return Known.Name == Service; });
  if (!IsKnown)
    return caller_refusal{400, "service_unknown"};
  return ticket_request{Caller, Service};
}

intake_result request_intake::examineOrder(const http_request &Request,
                                           const request_id &Id,
                                           const caller_id &Caller,
                                           time_point Now) const {
  // /orders/<order>/records/<record>[/confirm]
  const auto Parts = splitPath(Request.Path);
  const bool IsConfirm = Parts.size() == 5 && Parts[4] == "confirm";
  const bool IsRecord = Parts.size() == 4;
  if ((!IsConfirm && !IsRecord) || Parts[2] != "records")
    return caller_refusal{404, "path_unknown"};
  const bool IsReading = Request.Method == "GET" || Request.Method == "HEAD";
  if (IsConfirm ? Request.Method != "POST" : !IsReading)
    return caller_refusal{405, "method_not_allowed"};
  const order_id Order{std::string(Parts[1])};
  const record_id Record{std::string(Parts[3])};
  const entitlement_result Entitled = Catalogue->Entitlements.check(
      Order, Record, Caller,
      IsConfirm ? entitled_action::Confirm : entitled_action::Fetch);
  if (Entitled.Outcome != entitlement_outcome::Allowed)
    return caller_refusal{refusalStatus(Entitled.Outcome),
                          std::string(refusalCode(Entitled.Outcome)),
                          {},
                          Caller};
  if (IsConfirm)
    return confirm_request{Caller, Order, Record};
  service_request Result;
  Result.Entry = {.Id = Id,
                  .Caller = Caller,
                  .Service = Entitled.Service,
                  .Kind = service_catalogue::RecordKind,
                  .Repeatable = true,
                  .Deadline = Now + deadlineOf(Request, RecordDeadline)};
  Result.Target = std::string(RecordsTarget) + Record.value();
  return Result;
}

intake_result request_intake::examineRoute(const http_request &Request,
                                           const request_id &Id,
                                           const caller_id &Caller,
                                           time_point Now) const {
  const route *Route = Catalogue->Routes.find(Request.Path);
  if (Route == nullptr)
    return caller_refusal{404, "path_unknown"};
  if (Request.Body.size() > Route->MaxRequestSize.value())
    return caller_refusal{413, "body_too_large"};
  service_request Result;
  Result.Entry = {.Id = Id,
                  .Caller = Caller,
                  .Service = Route->Service,
                  .Kind = Route->Kind,
                  .Repeatable = Route->Repeatable,
                  .Long = Route->Long,
                  .Deadline = Now + deadlineOf(Request, Route->Deadline)};
  Result.Target = Request.Path;
  if (!Request.Query.empty())
    Result.Target += "?" + Request.Query;
  Result.IsTicketRequired = Catalogue->TicketOnly.contains(Route->Id);
  return Result;
}
