#include "bw_control/commands/control_program.h"

#include "bw_control/output/output_text.h"
#include "bw_operations/audit/audit_line.h"
#include "bw_operations/audit/audit_replay.h"
#include "bw_operations/audit/audit_store.h"
#include "bw_operations/confirmations/confirmation_store.h"
#include "bw_operations/credentials/credential_check.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_platform/client/platform_client.h"
#include "bw_reports/logs/request_story.h"
#include "bw_reports/metrics/metrics_glance.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/validation/configuration_validator.h"
#include "bw_schema/validation/names.h"
#include "bw_schema/yaml/configuration_files.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace bw;

namespace {

// A page of the audit log that one call brings.
constexpr std::size_t PageSegments = 100;

// Whoever can read the file can act as the operator.
std::string readCredential(const std::string &Path) {
  if (Path.empty())
    return {};
  namespace fs = std::filesystem;
  std::error_code Code;
  const fs::perms Others = fs::perms::group_all | fs::perms::others_all;
  const fs::file_status Status = fs::status(Path, Code);
  if (Code || !fs::is_regular_file(Status))
    throw control_error(exit_code::Usage, Path + ": cannot be read");
  if ((Status.permissions() & Others) != fs::perms::none)
    throw control_error(exit_code::Usage,
                        Path + ": must be readable by its owner only");
  std::ifstream File(Path);
  std::string Credential;
  std::getline(File, Credential);
  const std::size_t Dot = Credential.find('.');
  const bool IsCredential =
      Dot != std::string::npos && isCallerName(Credential.substr(0, Dot)) &&
      isHex(std::string_view(Credential).substr(Dot + 1), 64);
  if (!IsCredential)
    throw control_error(exit_code::Usage,
                        Path + ": must hold <operator>.<secret>");
  return Credential;
}

std::string readText(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  if (!File || std::filesystem::is_directory(Path))
    throw control_error(exit_code::Invalid, Path + ": cannot be read");
  Text << File.rdbuf();
  return Text.str();
}

// Appends to the findings what cannot be read.
void replaySegments(const audit_store &Store, audit_replay &Replay,
                    std::vector<schema::audit_entry> &Confirmed,
                    std::vector<std::string> &Findings) {
  std::string After;
  do {
    const audit_page Page = Store.read(After, PageSegments);
    for (const schema::audit_segment &Segment : Page.Segments)
      for (const schema::audit_entry &Entry : Segment.entries()) {
        Replay.add(Entry);
        if (Entry.event() == schema::audit_entry::confirmed)
          Confirmed.push_back(Entry);
      }
    for (const std::string &Name : Page.Malformed)
      Findings.push_back("segment " + Name + " cannot be read");
    After = Page.Next;
  } while (!After.empty());
}

// Entries of confirmations whose object is not there.
std::vector<std::string>
missingConfirmations(const platform_client &Client,
                     const std::vector<schema::audit_entry> &Confirmed) {
  std::vector<std::string> Result;
  for (const schema::audit_entry &Entry : Confirmed) {
    const read_answer Answer = Client.read(confirmation_store::keyOf(
        order_id(Entry.order()), record_id(Entry.record()),
        caller_id(Entry.actor())));
    if (Answer.Outcome == read_outcome::Unavailable)
      throw platform_unavailable_error();
    if (Answer.Outcome == read_outcome::Absent)
      Result.push_back("confirmation without its object: " +
                       formatAuditLine(Entry));
  }
  return Result;
}

std::string summaryText(const audit_summary &Summary) {
  std::string Text = std::to_string(Summary.EntryCount) + " entries, " +
                     std::to_string(Summary.RepeatedCount) + " repeated\n";
  for (const auto &[Event, Count] : Summary.EventCounts)
    Text += Event + ": " + std::to_string(Count) + "\n";
  for (const std::string &Record : Summary.Records)
    Text += Record + "\n";
  return Text + std::to_string(Summary.Findings.size()) + " findings\n";
}

std::string join(const std::vector<std::string> &Lines) {
  std::string Result;
  for (const std::string &Line : Lines)
    Result += (Result.empty() ? "" : "\n") + Line;
  return Result;
}

} // namespace

std::string control_program_options::randomChangeId() {
  std::random_device Device;
  std::ostringstream Id;
  Id << "c";
  for (int Part = 0; Part < 4; ++Part)
    Id << "-" << std::hex << Device();
  return Id.str();
}

exit_code control_program::run(std::vector<std::string> Arguments) const {
  const command_line_result Result =
      parseCommandLine(std::move(Arguments), Options.Version);
  if (!Result.Parsed) {
    (Result.IsFault ? Options.Error : Options.Out) << Result.Text;
    return Result.IsFault ? exit_code::Usage : exit_code::Done;
  }
  try {
    runCommand(*Result.Parsed);
    return exit_code::Done;
  } catch (const control_error &Error) {
    Options.Error << Error.what() << "\n";
    return Error.exitCode();
  } catch (const declaration_error &Error) {
    Options.Error << Error.what() << "\n";
    return exit_code::Invalid;
  } catch (const stored_object_error &Error) {
    Options.Error << Error.what() << "\n";
    return exit_code::Invalid;
  } catch (const error &Error) {
    Options.Error << Error.what() << "\n";
    return exit_code::Unavailable;
  }
}

void control_program::runCommand(const command_line &Line) const {
  switch (Line.Command) {
  case control_command::Apply:
    return apply(Line);
  case control_command::Diff:
    return diff(Line);
  case control_command::Get:
    return get(Line);
  case control_command::Validate:
    return validate(Line);
  case control_command::Status:
    return status(Line);
  case control_command::Drain:
    return drain(Line);
  case control_command::AuditExport:
    return exportAudit(Line);
  case control_command::AuditReplay:
    return replayAudit(Line);
  case control_command::ReportBurn:
    return reportBurn(Line);
  case control_command::CredentialNew:
    return newCredential(Line);
  case control_command::Explain:
    return explain(Line);
  case control_command::Top:
    return top(Line);
  case control_command::CompletionBash:
    Options.Out << bashCompletion();
    return;
  }
}

operator_client control_program::client(const command_line &Line) const {
  if (Line.Endpoint.empty())
    throw control_error(exit_code::Usage, "--endpoint is required");
  return operator_client({.Endpoint = Line.Endpoint,
                          .Credential = readCredential(Line.CredentialFile),
                          .Send = Options.Send});
}

void control_program::print(const command_line &Line,
                            const google::protobuf::Message &Message,
                            const std::string &Text) const {
  Options.Out << (Line.Output == output_format::Table
                      ? Text
                      : formatMessage(Message, Line.Output));
}

void control_program::apply(const command_line &Line) const {
  const declared_configuration Declared = readConfigurationFiles(Line.File);
  const operator_client Client = client(Line);
  schema::apply_request Request;
  *Request.mutable_declared() = Declared.Message;
  Request.set_prune(Line.Prune);
  Request.set_change_id(Line.ChangeId.empty() ? Options.NewChangeId()
                                              : Line.ChangeId);
  std::uint64_t Expected = Line.Expected.value_or(Declared.Message.version());
  if (!Line.Expected && Expected == 0) {
    schema::status_answer Status;
    Client.call({.Method = "status",
                 .Request = schema::status_request(),
                 .Answer = Status,
                 .HowToAsk = {}});
    Expected = Status.stored_version();
  }
  Request.set_expected_version(Expected);
  schema::apply_answer Answer;
  Client.call(
      {.Method = "apply",
       .Request = Request,
       .Answer = Answer,
       .HasEffect = true,
       .HowToAsk = "Ask with: bwctl status --change-id " + Request.change_id() +
                   "; or repeat with --change-id " + Request.change_id() +
                   " --expect " + std::to_string(Expected),
       .Locations = &Declared.Locations});
  std::string Text = changesText(Answer.changes(), Answer.change_count());
  if (Answer.change_count() == 0)
    Text = "no changes\n";
  if (Answer.repeated_call())
    Text += "accepted by an earlier call\n";
  print(Line, Answer,
        Text + "version " + std::to_string(Answer.version()) + "\n");
}

void control_program::diff(const command_line &Line) const {
  const declared_configuration Declared = readConfigurationFiles(Line.File);
  schema::diff_request Request;
  *Request.mutable_declared() = Declared.Message;
  Request.set_prune(Line.Prune);
  schema::diff_answer Answer;
  client(Line).call({.Method = "diff",
                     .Request = Request,
                     .Answer = Answer,
                     .HowToAsk = {},
                     .Locations = &Declared.Locations});
  const std::string Text =
      Answer.change_count() == 0
          ? "no changes\n"
          : changesText(Answer.changes(), Answer.change_count());
  print(Line, Answer,
        Text + "compared with version " + std::to_string(Answer.version()) +
            "\n");
}

void control_program::get(const command_line &Line) const {
  schema::get_answer Answer;
  client(Line).call({.Method = "get",
                     .Request = schema::get_request(),
                     .Answer = Answer,
                     .HowToAsk = {}});
  print(Line, Answer.stored(), configurationText(Answer.stored()));
}

void control_program::validate(const command_line &Line) const {
  const declared_configuration Declared = readConfigurationFiles(Line.File);
  std::vector<field_fault> Faults = validateConfiguration(Declared.Message);
  for (field_fault &Fault : Faults)
    Declared.Locations.locate(Fault);
  if (!Faults.empty())
    throw declaration_error(std::move(Faults));
  Options.Out << "valid\n";
}

void control_program::status(const command_line &Line) const {
  schema::status_request Request;
  Request.set_change_id(Line.ChangeId);
  schema::status_answer Answer;
  client(Line).call({.Method = "status",
                     .Request = Request,
                     .Answer = Answer,
                     .HowToAsk = {}});
  std::string Text = statusText(Answer);
  if (!Line.ChangeId.empty() && !Answer.has_change())
    Text += "change " + Line.ChangeId + " is not among the last 64 accepted\n";
  print(Line, Answer, Text);
}

void control_program::drain(const command_line &Line) const {
  schema::drain_request Request;
  Request.set_host(Line.Name);
  schema::drain_answer Answer;
  client(Line).call({.Method = "drain",
                     .Request = Request,
                     .Answer = Answer,
                     .HasEffect = true,
                     .HowToAsk = "Ask with: bwctl status; draining a host "
                                 "again has no further effect"});
  print(Line, Answer,
        "host " + Line.Name +
            (Answer.already_leaving() ? " is leaving already\n"
                                      : " is draining\n"));
}

void control_program::exportAudit(const command_line &Line) const {
  const operator_client Client = client(Line);
  schema::audit_export_request Request;
  do {
    schema::audit_export_answer Answer;
    Client.call({.Method = "audit_export",
                 .Request = Request,
                 .Answer = Answer,
                 .HowToAsk = {}});
    Options.Out << Answer.lines();
    Request.set_after(Answer.next());
  } while (!Request.after().empty());
}

void control_program::replayAudit(const command_line &Line) const {
  audit_replay Replay;
  std::vector<std::string> Findings;
  if (!Line.File.empty()) {
    for (const auto &Entry : parseAuditLines(readText(Line.File), Line.File))
      Replay.add(Entry);
  } else if (!Line.PlatformUrl.empty()) {
    const platform_client Client(
        {.Url = Line.PlatformUrl, .Send = Options.Send});
    std::vector<schema::audit_entry> Confirmed;
    replaySegments(audit_store(Client.objectStore()), Replay, Confirmed,
                   Findings);
    const auto Missing = missingConfirmations(Client, Confirmed);
    Findings.insert(Findings.end(), Missing.begin(), Missing.end());
  } else {
    throw control_error(exit_code::Usage, "--platform or --file is required");
  }
  audit_summary Summary = Replay.finish();
  Summary.Findings.insert(Summary.Findings.end(), Findings.begin(),
                          Findings.end());
  Options.Out << summaryText(Summary);
  if (!Summary.Findings.empty())
    throw control_error(exit_code::Invalid, join(Summary.Findings));
}

void control_program::reportBurn(const command_line &Line) const {
  schema::burn_report_answer Answer;
  client(Line).call({.Method = "burn_report",
                     .Request = schema::burn_report_request(),
                     .Answer = Answer,
                     .HowToAsk = {}});
  print(Line, Answer, burnText(Answer));
}

void control_program::explain(const command_line &Line) const {
  request_story Story(Line.Name);
  for (const std::string &Name : Line.LogFiles) {
    std::ifstream File(Name);
    if (!File || std::filesystem::is_directory(Name))
      throw control_error(exit_code::Invalid, Name + ": cannot be read");
    Story.read(File, Name);
  }
  for (const unreadable_line &Each : Story.unreadable())
    Options.Error << Each.File << ":" << Each.Line
                  << ": not a log line, skipped\n";
  Options.Out << (Line.Output == output_format::Json ? storyJson(Story)
                                                     : storyText(Story));
  if (Story.steps().empty())
    throw control_error(exit_code::Invalid,
                        "no line about request " + printable(Line.Name));
}

void control_program::top(const command_line &Line) const {
  if (Line.Endpoint.empty())
    throw control_error(exit_code::Usage, "--endpoint is required");
  const call_result Result =
      Options.Send({.Method = "GET",
                    .Url = Line.Endpoint + "/metrics",
                    .Timeout = std::chrono::milliseconds(3000)});
  constexpr int Ok = 200;
  if (Result.Transfer.Status != transfer_status::Complete ||
      Result.Response.Status != Ok)
    throw control_error(exit_code::Unavailable,
                        Line.Endpoint + " gives no metrics");
  const metrics_page Page = parseMetrics(Result.Response.Body);
  for (const std::size_t Number : Page.BadLines)
    Options.Error << "line " << Number << ": not a metric, skipped\n";
  Options.Out << (Line.Output == output_format::Json ? glanceJson(Page)
                                                     : glanceText(Page));
}

void control_program::newCredential(const command_line &Line) const {
  if (!isCallerName(Line.Name))
    throw control_error(exit_code::Usage, "'" + printable(Line.Name) +
                                              "' cannot be a caller's name");
  const new_credential Credential = makeCredential(Line.Name);
  schema::configuration Declared;
  schema::caller &Caller = *Declared.add_callers();
  Caller.set_name(Line.Name);
  Caller.set_salt(Credential.Stored.Salt);
  Caller.set_secret_sha256(Credential.Stored.SecretSha256);
  // JSON has no comments, so the secret goes elsewhere then.
  std::ostream &SecretOut =
      Line.Output == output_format::Json ? Options.Error : Options.Out;
  SecretOut << "# The credential, shown once: " << Credential.Bearer << "\n";
  Options.Out << formatMessage(Declared, Line.Output == output_format::Table
                                             ? output_format::Yaml
                                             : Line.Output);
}
