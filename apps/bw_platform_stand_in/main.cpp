// Runs the platform stand-in until SIGTERM.

#include "bw_kernel/bw_kernel.h"
#include "bw_kernel/programs/stop_signal.h"
#include "bw_stand_ins/bw_stand_ins.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Stand-in for the platform's object API and host list");
  Program.set_version_flag("--version", BW_VERSION);
  bw::platform_stand_in_options Options;
  std::uint32_t LagMilliseconds = 0;
  Program.add_option("--address", Options.Address, "address to listen on");
  Program.add_option("--port", Options.Port, "port to listen on; 0 for any");
  Program.add_option("--host-list-lag-ms", LagMilliseconds,
                     "age of the host list that is shown");
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  Options.HostListLag = std::chrono::milliseconds(LagMilliseconds);

  bw::blockStopSignals();
  bw::startLogging("bw-platform-stand-in");
  try {
    bw::runtime_clock Clock;
    bw::platform_stand_in StandIn(Clock, Options);
    StandIn.start();
    std::cout << "listening " << StandIn.port() << std::endl;
    bw::waitForStopSignal();
  } catch (const bw::error &Failure) {
    std::cerr << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
