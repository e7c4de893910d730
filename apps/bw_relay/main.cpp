// Runs the fault-injecting TCP relay until SIGTERM.

#include "bw_kernel/bw_kernel.h"
#include "bw_kernel/programs/stop_signal.h"
#include "bw_stand_ins/relay/fault_relay.h"
#include "bw_stand_ins/relay/relay_command.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

/// Takes `address:port`.
void setEndpoint(const std::string &Text, std::string &Address,
                 std::uint16_t &Port) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos ||
      !CLI::detail::lexical_cast(Text.substr(Colon + 1), Port))
    throw CLI::ValidationError("expected address:port, found " + Text);
  Address = Text.substr(0, Colon);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Fault-injecting TCP relay");
  Program.set_version_flag("--version", BW_VERSION);
  Program.footer(bw::RelayCommandHelp);
  bw::relay_options Options;
  std::vector<std::string> Commands;
  Program.add_option_function<std::string>(
      "--listen",
      [&](const std::string &Text) {
        setEndpoint(Text, Options.ListenAddress, Options.ListenPort);
      },
      "address:port to listen on; port 0 for any");
  Program
      .add_option_function<std::string>(
          "--connect",
          [&](const std::string &Text) {
            setEndpoint(Text, Options.ConnectAddress, Options.ConnectPort);
          },
          "address:port to connect to")
      ->required();
  Program.add_option("--control-port", Options.ControlPort,
                     "control port on 127.0.0.1; 0 for any");
  Program.add_option("--seed", Options.Seed, "seed of all chance");
  Program.add_option("--command", Commands,
                     "commands applied before the start, see below");
  CLI11_PARSE(Program, ArgumentCount, Arguments);

  bw::blockStopSignals();
  bw::startLogging("bw-relay");
  try {
    for (const std::string &Command : Commands)
      bw::applyRelayCommand(Command, Options.Faults);
    bw::runtime_clock Clock;
    bw::fault_relay Relay(Clock, Options);
    Relay.start();
    std::cout << "listening " << Relay.port() << "\ncontrol "
              << Relay.controlPort() << std::endl;
    bw::waitForStopSignal();
  } catch (const bw::error &Failure) {
    std::cerr << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
