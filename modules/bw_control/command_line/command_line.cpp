#include "bw_control/command_line/command_line.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <map>
#include <sstream>

using namespace bw;

namespace {

const std::string ExitCodes =
    "Exit codes: 0 done, 1 usage, 2 invalid input, 3 conflict, 4 unknown "
    "outcome, 5 unavailable, 6 refused.";

// CLI11 2.1 turns -1 into the largest unsigned number.
std::string requireDigits(const std::string &Text) {
  const bool IsNumber = !Text.empty() && Text.find_first_not_of("0123456789") ==
                                             std::string::npos;
  return IsNumber ? "" : "must be a whole number";
}

class parser {
public:
  explicit parser(const std::string &Version)
      : App("Controls a Bramleywinch fleet.", "bwctl") {
    App.set_version_flag("--version", "bwctl " + Version);
    App.footer(ExitCodes);
    App.require_subcommand(1);
    App.add_option("--endpoint", Line.Endpoint,
                   "URL of a daemon, as http://127.0.0.1:7080");
    App.add_option("--credential-file", Line.CredentialFile,
                   "File with <operator>.<secret>, readable by its owner only");
    App.add_option("-o,--output", Line.Output, "table, json or yaml")
        ->transform(
            CLI::CheckedTransformer(std::map<std::string, output_format>{
                {"table", output_format::Table},
                {"json", output_format::Json},
                {"yaml", output_format::Yaml}}));
    addDeclarationCommands();
    addFleetCommands();
    addAuditCommands();
    addLocalCommands();
  }

  command_line_result parse(std::vector<std::string> Arguments) {
    // The library takes them last to first.
    std::reverse(Arguments.begin(), Arguments.end());
    try {
      App.parse(Arguments);
    } catch (const CLI::ParseError &Error) {
      std::ostringstream Out;
      const bool IsFault = App.exit(Error, Out, Out) != 0;
      return {.Parsed = std::nullopt, .Text = Out.str(), .IsFault = IsFault};
    }
    return {.Parsed = Line, .Text = {}, .IsFault = false};
  }

private:
  CLI::App *addCommand(CLI::App &Parent, const std::string &Name,
                       const std::string &Help, control_command Command) {
    CLI::App *Added = Parent.add_subcommand(Name, Help);
    Added->fallthrough();
    Added->callback([this, Command] { Line.Command = Command; });
    return Added;
  }

  CLI::App &addGroup(const std::string &Name, const std::string &Help) {
    CLI::App *Group = App.add_subcommand(Name, Help);
    Group->fallthrough();
    Group->require_subcommand(1);
    return *Group;
  }

  CLI::Option *addFile(CLI::App *Command, const std::string &Help) {
    return Command->add_option("-f,--file", Line.File, Help);
  }

  void addDeclarationCommands() {
    const std::string FileHelp = "File or directory of declarations";
    CLI::App *Apply = addCommand(App, "apply", "Add and replace declarations",
                                 control_command::Apply);
    addFile(Apply, FileHelp)->required();
    Apply->add_flag("--prune", Line.Prune, "Remove what is not declared");
    Apply
        ->add_option("--expect", Line.Expected,
                     "Version that the change expects; default: the file's "
                     "version, else the one in force")
        ->check(requireDigits);
    Apply->add_option("--change-id", Line.ChangeId,
                      "Id of the change; the same id again repeats no change");
    CLI::App *Diff = addCommand(App, "diff", "Show what apply would change",
                                control_command::Diff);
    addFile(Diff, FileHelp)->required();
    Diff->add_flag("--prune", Line.Prune, "As with apply");
    addCommand(App, "get", "Show the stored configuration",
               control_command::Get);
    CLI::App *Validate =
        addCommand(App, "validate", "Check declarations as a whole, offline",
                   control_command::Validate);
    addFile(Validate, FileHelp)->required();
  }

  void addFleetCommands() {
    CLI::App *Status =
        addCommand(App, "status", "Show hosts and versions in force",
                   control_command::Status);
    Status->add_option("--change-id", Line.ChangeId,
                       "Also tell whether this change was accepted");
    CLI::App *Drain = addCommand(App, "drain", "Ask a host to stop gracefully",
                                 control_command::Drain);
    Drain->add_option("host", Line.Name, "Name of the host")->required();
  }

  void addAuditCommands() {
    CLI::App &Audit = addGroup("audit", "The audit log");
    addCommand(Audit, "export", "Print all entries, one a line",
               control_command::AuditExport);
    CLI::App *Replay =
        addCommand(Audit, "replay", "Check the entries against each other",
                   control_command::AuditReplay);
    CLI::Option *Platform = Replay->add_option(
        "--platform", Line.PlatformUrl,
        "URL of the platform's service; confirmations are checked too");
    addFile(Replay, "An export")->excludes(Platform);
  }

  void addLocalCommands() {
    CLI::App &Report = addGroup("report", "Reports");
    addCommand(Report, "burn", "Burn rates and budget left of the objectives",
               control_command::ReportBurn);
    CLI::App *Explain =
        addCommand(App, "explain", "Tell a request's story from logs",
                   control_command::Explain);
    Explain->add_option("request", Line.Name, "Id of the request")->required();
    Explain->add_option("logs", Line.LogFiles, "Logs of daemons")->required();
    addCommand(App, "top", "Show a daemon's metrics at a glance",
               control_command::Top);
    CLI::App &Credential = addGroup("credential", "Credentials");
    CLI::App *New = addCommand(Credential, "new",
                               "Make a credential; its secret is shown once",
                               control_command::CredentialNew);
    New->add_option("caller", Line.Name, "Name of the caller")->required();
    CLI::App &Completion = addGroup("completion", "Completion of shells");
    addCommand(Completion, "bash", "Print the script for bash",
               control_command::CompletionBash);
  }

  command_line Line;
  CLI::App App;
};

} // namespace

command_line_result bw::parseCommandLine(std::vector<std::string> Arguments,
                                         const std::string &Version) {
  return parser(Version).parse(std::move(Arguments));
}

std::string bw::bashCompletion() {
  return R"(_bwctl() {
  local Word="${COMP_WORDS[COMP_CWORD]}" Previous="${COMP_WORDS[COMP_CWORD-1]}"
  case "$Previous" in
    audit) COMPREPLY=($(compgen -W "export replay" -- "$Word")); return ;;
    report) COMPREPLY=($(compgen -W "burn" -- "$Word")); return ;;
    credential) COMPREPLY=($(compgen -W "new" -- "$Word")); return ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$Word")); return ;;
    -o | --output) COMPREPLY=($(compgen -W "table json yaml" -- "$Word")); return ;;
    -f | --file | --credential-file) COMPREPLY=($(compgen -f -- "$Word")); return ;;
  esac
  if [[ "$Word" == -* ]]; then
    COMPREPLY=($(compgen -W "--endpoint --credential-file --output --file --prune --expect --change-id --platform --help --version" -- "$Word"))
  else
    COMPREPLY=($(compgen -W "apply diff get validate status drain audit report explain top credential completion" -- "$Word"))
  fi
}
complete -F _bwctl bwctl
)";
}
