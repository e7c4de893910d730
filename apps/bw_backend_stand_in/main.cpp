// Runs one or more backend server stand-ins until SIGTERM.

#include "bw_kernel/bw_kernel.h"
#include "bw_kernel/programs/stop_signal.h"
#include "bw_stand_ins/bw_stand_ins.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>
#include <vector>

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Stand-in for backend servers of one service");
  Program.set_version_flag("--version", BW_VERSION);
  std::string Address = "127.0.0.1";
  std::string Name = "backend";
  std::uint16_t Port = 0;
  std::uint32_t Count = 1;
  std::uint32_t Slots = 6;
  std::uint32_t ServiceMicroseconds = 5'000;
  std::uint32_t ColdStartMilliseconds = 0;
  std::uint64_t Seed = 1;
  Program.add_option("--address", Address, "address to listen on");
  Program.add_option("--name", Name, "name; instances are NAME-1, NAME-2, ...");
  Program.add_option(
      "--port", Port,
      "port of the first instance, the others follow; 0 for any");
  Program.add_option("--count", Count, "instances in this process")
      ->check(CLI::Range(1, 100));
  Program.add_option("--slots", Slots, "requests at a time")
      ->check(CLI::Range(1, 64));
  Program.add_option("--service-time-us", ServiceMicroseconds,
                     "median time of a request");
  Program.add_option("--cold-start-ms", ColdStartMilliseconds,
                     "time after the start in which it is ten times slower");
  Program.add_option("--seed", Seed, "seed of the service times and faults");
  CLI11_PARSE(Program, ArgumentCount, Arguments);

  bw::blockStopSignals();
  bw::startLogging("bw-backend-stand-in");
  try {
    bw::runtime_clock Clock;
    std::vector<std::unique_ptr<bw::backend_stand_in>> Instances;
    for (std::uint32_t Index = 1; Index <= Count; ++Index) {
      bw::backend_stand_in_options Options{
          .Name = bw::backend_server_id(Name + "-" + std::to_string(Index)),
          .Address = Address,
          .Port =
              Port == 0 ? Port : static_cast<std::uint16_t>(Port + Index - 1),
          .Slots = bw::slot_count(Slots),
          .ServiceTime = std::chrono::microseconds(ServiceMicroseconds),
          .ColdStart = std::chrono::milliseconds(ColdStartMilliseconds),
          .Seed = Seed * 1000 + Index};
      Instances.push_back(
          std::make_unique<bw::backend_stand_in>(Clock, std::move(Options)));
      Instances.back()->start();
      std::cout << "listening " << Instances.back()->port() << std::endl;
    }
    bw::waitForStopSignal();
  } catch (const bw::error &Failure) {
    std::cerr << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
