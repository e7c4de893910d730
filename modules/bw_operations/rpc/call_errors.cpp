#include "bw_operations/rpc/call_errors.h"

#include "bw_schema/json/json_codec.h"

using namespace bw;

namespace {

// Proposed wait after an outage, in milliseconds.
constexpr std::uint32_t RetryAfterMs = 2'000;

schema::call_error errorOf(const std::string &Code, const std::string &Text) {
  schema::call_error Error;
  Error.set_code(Code);
  Error.set_text(Text);
  return Error;
}

rpc_reply replyOf(int Status, const schema::call_error &Error) {
  return {.Status = Status, .Body = formatJson(Error)};
}

} // namespace

rpc_reply bw::invalidReply(int Status, const std::vector<field_fault> &Faults) {
  schema::call_error Error = errorOf(
      "declaration_invalid", "the input is invalid; nothing was changed");
  for (const field_fault &Fault : Faults) {
    schema::field_fault &Added = *Error.mutable_invalid()->add_faults();
    Added.set_file(Fault.File);
    Added.set_line(static_cast<std::uint32_t>(Fault.Line));
    Added.set_field(Fault.Field);
    Added.set_reason(Fault.Reason);
  }
  return replyOf(Status, Error);
}

rpc_reply bw::conflictReply(config_version Expected,
                            const schema::applied_change &Winner) {
  schema::call_error Error =
      errorOf("version_conflict",
              "version " + std::to_string(Winner.version()) + " by " +
                  Winner.applier() + " is in force; nothing was changed");
  schema::conflict_detail &Detail = *Error.mutable_conflict();
  Detail.set_expected_version(Expected.value());
  Detail.set_winner_version(Winner.version());
  Detail.set_winner_change_id(Winner.change_id());
  Detail.set_winner_applier(Winner.applier());
  return replyOf(409, Error);
}

rpc_reply bw::unknownReply(const std::string &Change) {
  schema::call_error Error =
      errorOf("outcome_unknown", "the change may have been accepted");
  Error.mutable_unknown()->set_change_id(Change);
  Error.mutable_unknown()->set_how_to_ask(
      "POST /rpc/operations/status with this change_id; or repeat the call "
      "with it, which applies it once at most");
  return replyOf(504, Error);
}

rpc_reply bw::unavailableReply() {
  schema::call_error Error =
      errorOf("platform_unavailable",
              "the platform's service does not answer; nothing was changed");
  Error.mutable_unavailable()->set_retry_after_ms(RetryAfterMs);
  return replyOf(503, Error);
}

rpc_reply bw::refusedReply(int Status, const std::string &Code,
                           const std::string &Reason) {
  schema::call_error Error = errorOf(Code, Reason);
  Error.mutable_refused()->set_reason(Reason);
  return replyOf(Status, Error);
}

rpc_reply bw::internalReply(const std::string &Code, const std::string &Text) {
  return replyOf(500, errorOf(Code, Text));
}
