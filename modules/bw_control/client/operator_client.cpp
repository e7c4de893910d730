#include "bw_control/client/operator_client.h"

#include "bw_schema/bramleywinch.pb.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/json/json_codec.h"

#include <optional>

using namespace bw;

namespace {

[[noreturn]] void failWithoutAnswer(const operator_call &Call,
                                    const std::string &Reason) {
  if (Call.HasEffect)
    throw control_error(exit_code::Unknown,
                        Reason + "; the outcome is unknown. " + Call.HowToAsk);
  throw control_error(exit_code::Unavailable, Reason);
}

std::string faultLines(const schema::invalid_detail &Detail,
                       const field_locations *Locations) {
  std::string Result;
  for (const schema::field_fault &Each : Detail.faults()) {
    field_fault Fault{.File = Each.file(),
                      .Line = static_cast<int>(Each.line()),
                      .Field = Each.field(),
                      .Reason = Each.reason()};
    if (Locations != nullptr)
      Locations->locate(Fault);
    Result += (Result.empty() ? "" : "\n") + Fault.text();
  }
  return Result;
}

exit_code exitCodeOf(const schema::call_error &Error) {
  switch (Error.detail_case()) {
  case schema::call_error::kConflict:
    return exit_code::Conflict;
  case schema::call_error::kInvalid:
    return exit_code::Invalid;
  case schema::call_error::kRefused:
    return exit_code::Refused;
  case schema::call_error::kUnavailable:
    return exit_code::Unavailable;
  default:
    return exit_code::Unknown;
  }
}

std::string textOf(const schema::call_error &Error, const operator_call &Call) {
  if (Error.has_invalid())
    return faultLines(Error.invalid(), Call.Locations);
  std::string Text = Error.code() + ": " + Error.text();
  if (Error.has_conflict())
    Text += " (version " + std::to_string(Error.conflict().winner_version()) +
            ", change " + Error.conflict().winner_change_id() +
            ", expected version " +
            std::to_string(Error.conflict().expected_version()) + ")";
  return Error.has_unknown() ? Text + ". " + Call.HowToAsk : Text;
}

std::optional<schema::call_error> decodeError(const std::string &Body) {
  schema::call_error Error;
  try {
    parseJson(Body, "", Error);
  } catch (const declaration_error &) {
    return std::nullopt;
  }
  return Error;
}

[[noreturn]] void failWithStatus(const http_response &Response,
                                 const operator_call &Call) {
  const std::string Status =
      "the daemon answered with HTTP status " + std::to_string(Response.Status);
  const auto Error = decodeError(Response.Body);
  const bool HasDetail =
      Error && Error->detail_case() != schema::call_error::DETAIL_NOT_SET;
  if (HasDetail)
    throw control_error(exitCodeOf(*Error), textOf(*Error, Call));
  // A 4xx is refused before the call runs, whoever answers it.
  if (Response.Status >= 400 && Response.Status < 500)
    throw control_error(exit_code::Refused, Status);
  failWithoutAnswer(Call, Error ? Status + ", " + Error->text() : Status);
}

} // namespace

void operator_client::call(const operator_call &Call) const {
  client_request Request{.Method = "POST",
                         .Url = Options.Endpoint + "/rpc/operations/" +
                                Call.Method,
                         .Headers = {{"Content-Type", "application/json"}},
                         .Body = formatJson(Call.Request),
                         .NeedsFreshConnection = true};
  if (!Options.Credential.empty())
    Request.Headers.add("Authorization", "Bearer " + Options.Credential);
  const call_result Result = Options.Send(std::move(Request));
  if (Result.Transfer.Status != transfer_status::Complete) {
    if (!Result.Transfer.WasSent)
      throw control_error(exit_code::Unavailable, "cannot connect to " +
                                                      Options.Endpoint +
                                                      "; nothing was changed");
    failWithoutAnswer(Call, "the answer of " + Options.Endpoint + " was lost");
  }
  if (Result.Response.Status != 200)
    failWithStatus(Result.Response, Call);
  try {
    parseJson(Result.Response.Body, "", Call.Answer);
  } catch (const declaration_error &) {
    failWithoutAnswer(Call, "the answer cannot be decoded");
  }
}
