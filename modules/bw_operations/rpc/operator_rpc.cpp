#include "bw_operations/rpc/operator_rpc.h"

#include "bw_kernel/log/log_event.h"
#include "bw_operations/audit/audit_line.h"
#include "bw_operations/configuration/configuration_changes.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_operations/rpc/call_errors.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/json/json_codec.h"
#include "bw_schema/validation/configuration_validator.h"
#include "bw_schema/validation/names.h"

#include <algorithm>

using namespace bw;

namespace {

const std::string PathPrefix = "/rpc/operations/";

constexpr std::size_t MaxListedChanges = 100;
constexpr std::uint32_t DefaultSegments = 100;
constexpr std::uint32_t MaxSegments = 1'000;

rpc_reply accepted(const google::protobuf::Message &Answer) {
  return {.Status = 200, .Body = formatJson(Answer)};
}

schema::apply_answer applyAnswer(const change_result &Result,
                                 const std::string &Change) {
  schema::apply_answer Answer;
  Answer.set_version(Result.Change.version());
  Answer.set_change_id(Change);
  Answer.set_repeated_call(Result.Outcome == change_outcome::AcceptedBefore);
  if (Result.Outcome == change_outcome::Unchanged)
    return Answer;
  *Answer.mutable_changes() = Result.Change.changes();
  Answer.set_change_count(Result.Change.change_count());
  return Answer;
}

} // namespace

operator_rpc::operator_rpc(operator_rpc_options GivenOptions)
    : Options(std::move(GivenOptions)), Store(Options.Configuration),
      Audit(Options.Audit) {
  addMethod<schema::apply_request>(
      "apply", [this](const auto &Request, const operator_id &Operator) {
        return apply(Request, Operator);
      });
  addMethod<schema::get_request>(
      "get", [this](const auto &, const operator_id &) { return get(); });
  addMethod<schema::diff_request>(
      "diff", [this](const auto &Request, const operator_id &) {
        return diff(Request);
      });
  addMethod<schema::status_request>(
      "status", [this](const auto &Request, const operator_id &) {
        return status(Request);
      });
  addMethod<schema::drain_request>(
      "drain", [this](const auto &Request, const operator_id &Operator) {
        return drain(Request, Operator);
      });
  addMethod<schema::audit_export_request>(
      "audit_export", [this](const auto &Request, const operator_id &) {
        return exportAudit(Request);
      });
  addMethod<schema::burn_report_request>(
      "burn_report", [this](const auto &, const operator_id &) {
        return accepted(Options.BurnReport());
      });
}

template <typename Request, typename Handler>
void operator_rpc::addMethod(const std::string &Name, Handler Handle) {
  Methods.emplace(
      Name, [Handle](const std::string &Body, const operator_id &Operator) {
        Request Decoded;
        try {
          parseJson(Body, "", Decoded);
        } catch (const declaration_error &Error) {
          return invalidReply(400, Error.faults());
        }
        return Handle(Decoded, Operator);
      });
}

rpc_reply operator_rpc::call(const std::string &Path, const std::string &Body,
                             const operator_id &Operator) const {
  const auto Method = Path.starts_with(PathPrefix)
                          ? Methods.find(Path.substr(PathPrefix.size()))
                          : Methods.end();
  if (Method == Methods.end())
    return refusedReply(404, "unknown_method",
                        "there is no call '" + printable(Path) + "'");
  rpc_reply Reply;
  try {
    Reply = Method->second(Body, Operator);
  } catch (const platform_unavailable_error &) {
    Reply = unavailableReply();
  } catch (const error &Error) {
    Reply = internalReply(std::string(Error.code()), Error.what());
  }
  if (Reply.Status >= 400)
    logEvent(log_event::OperatorCallRefused,
             {{"method", Method->first},
              {"operator", Operator.value()},
              {"status", std::to_string(Reply.Status)}});
  return Reply;
}

rpc_reply operator_rpc::apply(const schema::apply_request &Request,
                              const operator_id &Operator) const {
  const change_result Result =
      Store.apply({.Declared = Request.declared(),
                   .Expected = config_version(Request.expected_version()),
                   .Change = change_id(Request.change_id()),
                   .Applier = Operator,
                   .Prune = Request.prune()});
  switch (Result.Outcome) {
  case change_outcome::Accepted:
    logEvent(log_event::ChangeAccepted,
             {{"change", Request.change_id()},
              {"operator", Operator.value()},
              {"version", std::to_string(Result.Change.version())}});
    Options.OnAudit(schema::audit_entry::change_applied, Operator,
                    Request.change_id());
    return accepted(applyAnswer(Result, Request.change_id()));
  case change_outcome::AcceptedBefore:
  case change_outcome::Unchanged:
    return accepted(applyAnswer(Result, Request.change_id()));
  case change_outcome::Conflict:
    logEvent(log_event::ChangeConflict,
             {{"change", Request.change_id()},
              {"operator", Operator.value()},
              {"winner", Result.Change.change_id()}});
    return conflictReply(config_version(Request.expected_version()),
                         Result.Change);
  case change_outcome::Invalid:
    return invalidReply(422, Result.Faults);
  case change_outcome::Unavailable:
    return unavailableReply();
  case change_outcome::Unknown:
    break;
  }
  return unknownReply(Request.change_id());
}

rpc_reply operator_rpc::get() const {
  schema::get_answer Answer;
  *Answer.mutable_stored() = Store.read();
  return accepted(Answer);
}

rpc_reply operator_rpc::diff(const schema::diff_request &Request) const {
  const schema::configuration Stored = Store.read();
  const schema::configuration Next =
      mergeDeclared(Stored, Request.declared(), Request.prune());
  const std::vector<field_fault> Faults = validateConfiguration(Next);
  if (!Faults.empty())
    return invalidReply(422, Faults);
  const auto Changes = compareConfigurations(Stored, Next);
  schema::diff_answer Answer;
  Answer.set_version(Stored.version());
  Answer.set_change_count(static_cast<std::uint32_t>(Changes.size()));
  for (std::size_t Index = 0;
       Index < std::min(Changes.size(), MaxListedChanges); ++Index)
    *Answer.add_changes() = Changes[Index];
  return accepted(Answer);
}

rpc_reply operator_rpc::status(const schema::status_request &Request) const {
  schema::status_answer Answer = Options.Status();
  const auto Head = Store.readHead();
  Answer.set_stored_version(Head ? Head->version() : 0);
  if (!Request.change_id().empty())
    if (const auto Change = Store.findChange(change_id(Request.change_id())))
      *Answer.mutable_change() = *Change;
  return accepted(Answer);
}

rpc_reply operator_rpc::drain(const schema::drain_request &Request,
                              const operator_id &Operator) const {
  if (!isName(Request.host()))
    return invalidReply(422, {{.File = "",
                               .Line = 0,
                               .Field = "host",
                               .Reason = "'" + printable(Request.host()) +
                                         "' is not a host's name"}});
  const drain_outcome Outcome = Options.Drain(host_id(Request.host()));
  if (Outcome == drain_outcome::UnknownHost)
    return refusedReply(404, "unknown_host",
                        "there is no host '" + Request.host() + "'");
  if (Outcome == drain_outcome::Started)
    Options.OnAudit(schema::audit_entry::host_drained, Operator,
                    Request.host());
  schema::drain_answer Answer;
  Answer.set_host(Request.host());
  Answer.set_already_leaving(Outcome == drain_outcome::AlreadyLeaving);
  return accepted(Answer);
}

rpc_reply
operator_rpc::exportAudit(const schema::audit_export_request &Request) const {
  const bool IsName = Request.after().empty() || isObjectName(Request.after());
  if (!IsName || Request.max_segments() > MaxSegments)
    return invalidReply(422,
                        {{.File = "",
                          .Line = 0,
                          .Field = IsName ? "max_segments" : "after",
                          .Reason = IsName ? "must be at most 1000"
                                           : "is not the name of a segment"}});
  const std::uint32_t Limit =
      Request.max_segments() == 0 ? DefaultSegments : Request.max_segments();
  const audit_page Page = Audit.read(Request.after(), Limit);
  for (const std::string &Name : Page.Malformed)
    Options.OnMalformedSegment(Name);
  schema::audit_export_answer Answer;
  for (const schema::audit_segment &Segment : Page.Segments)
    for (const schema::audit_entry &Entry : Segment.entries())
      *Answer.mutable_lines() += formatAuditLine(Entry) + "\n";
  Answer.set_next(Page.Next);
  return accepted(Answer);
}
