#ifndef BW_CONTROL_COMMANDS_CONTROL_PROGRAM_H
#define BW_CONTROL_COMMANDS_CONTROL_PROGRAM_H

#include "bw_control/client/control_error.h"
#include "bw_control/client/operator_client.h"
#include "bw_control/command_line/command_line.h"
#include "bw_platform/objects/object_store.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace bw {

struct control_program_options {
  std::string Version = "0";
  std::ostream &Out;
  std::ostream &Error;
  /// Sends a request to a daemon or to the platform's service.
  std::function<call_result(client_request)> Send = callHttp;
  /// An id that no other change has.
  std::function<std::string()> NewChangeId = randomChangeId;

  static std::string randomChangeId();
};

/// The commands of bwctl. Results go to `Out`, faults to `Error`.
class control_program {
public:
  explicit control_program(control_program_options Options)
      : Options(std::move(Options)) {}

  /// Runs one command line, without the program's name.
  exit_code run(std::vector<std::string> Arguments) const;

private:
  void runCommand(const command_line &Line) const;
  void apply(const command_line &Line) const;
  void diff(const command_line &Line) const;
  void get(const command_line &Line) const;
  void validate(const command_line &Line) const;
  void status(const command_line &Line) const;
  void drain(const command_line &Line) const;
  void exportAudit(const command_line &Line) const;
  void replayAudit(const command_line &Line) const;
  void reportBurn(const command_line &Line) const;
  void newCredential(const command_line &Line) const;
  void explain(const command_line &Line) const;
  void top(const command_line &Line) const;

  operator_client client(const command_line &Line) const;
  /// Prints the text as a table, else the message.
  void print(const command_line &Line, const google::protobuf::Message &Message,
             const std::string &Text) const;

  control_program_options Options;
};

} // namespace bw

#endif
