#ifndef BW_CONTROL_COMMAND_LINE_COMMAND_LINE_H
#define BW_CONTROL_COMMAND_LINE_COMMAND_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bw {

enum class control_command {
  Apply,
  Diff,
  Get,
  Validate,
  Status,
  Drain,
  AuditExport,
  AuditReplay,
  ReportBurn,
  CredentialNew,
  CompletionBash,
  Explain,
  Top,
};

enum class output_format { Table, Json, Yaml };

/// A parsed command line.
struct command_line {
  control_command Command = control_command::Status;
  output_format Output = output_format::Table;
  std::string Endpoint;
  std::string CredentialFile;
  /// File or directory of declarations, or an audit export.
  std::string File;
  std::string ChangeId;
  std::optional<std::uint64_t> Expected;
  bool Prune = false;
  /// Host, caller or request that the command is about.
  std::string Name;
  std::string PlatformUrl;
  /// Logs of daemons.
  std::vector<std::string> LogFiles;
};

/// Result of parsing: a command, or a text to print with an exit code.
struct command_line_result {
  std::optional<command_line> Parsed;
  /// Help, version or a fault.
  std::string Text;
  bool IsFault = false;
};

/// Parses the arguments after the program's name.
command_line_result parseCommandLine(std::vector<std::string> Arguments,
                                     const std::string &Version);

/// Script for bash that completes commands and options.
std::string bashCompletion();

} // namespace bw

#endif
