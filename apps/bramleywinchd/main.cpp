// The daemon of one host: assembles the services and waits for a signal.

#include "bw_daemon/bw_daemon.h"
#include "bw_daemon/frontend/front_desk.h"
#include "bw_kernel/bw_kernel.h"
#include "bw_kernel/programs/stop_signal.h"
#include "bw_peer/bw_peer.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <random>
#include <unistd.h>

namespace {

// Blocks of this size and more go back to the system when they are freed, so
// the bodies of many requests leave no holes in the heap.
constexpr int LargeBlock = 65'536;

std::uint64_t randomNumber() {
  std::random_device Device;
  return (std::uint64_t(Device()) << 32U) | Device();
}

bw::start_order startOrder() {
  return bw::start_order(
      bw::configuration_store_options::currentMilliseconds());
}

// `main` waits for this signal, so a stop wanted by an operator takes the same
// way as one wanted by the init system.
void requestStop() { ::kill(::getpid(), SIGTERM); }

int runDaemon(const bw::daemon_settings &Settings) {
  bw::runtime_clock Clock;
  const bw::daemon_id Self{Settings.Host, bw::incarnation_id(randomNumber())};
  bw::kernel Kernel;
  auto &Peers = Kernel.add<bw::peer_service>(
      Clock, bw::peer_options{.ListenAddress = Settings.Peer.Address,
                              .ListenPort = Settings.Peer.Port,
                              .Self = Self,
                              .PeerKey = Settings.PeerKey});
  Kernel.add<bw::backend_service>(Clock);
  bw::decide_service *Decide = nullptr;
  Kernel.add<bw::platform_service>(
      Clock, bw::platform_service_options{
                 .Host = Settings.Host,
                 .Incarnation = Self.Incarnation,
                 .Url = Settings.PlatformUrl,
                 .Timeout = Settings.PlatformTimeout,
                 .Status = [&Decide] { return Decide->status(); },
                 .Drain =
                     [&Decide](const bw::host_id &Host) {
                       return Decide->drain(Host);
                     }});
  Kernel.add<bw::watch_service>(
      Clock,
      bw::watch_service_options{.Url = Settings.PlatformUrl,
                                .Timeout = Settings.PlatformTimeout,
                                .HostListInterval = Settings.HostListInterval});
  Decide = &Kernel.add<bw::decide_service>(
      Clock, bw::decide_service_options{.Settings = Settings,
                                        .Self = Self,
                                        .Started = startOrder(),
                                        .Seed = randomNumber(),
                                        .OnDrainWanted = requestStop});
  auto &Accept = Kernel.add<bw::accept_service>(
      Clock, bw::accept_service_options{.Address = Settings.Listen.Address,
                                        .Port = Settings.Listen.Port,
                                        .MaxBody = Settings.MaxBody,
                                        .Limits = Settings.Limits});
  Kernel.add<bw::front_desk>(Settings.Operators);
  Kernel.start();
  std::cout << "listening " << Accept.port() << " peers " << Peers.port()
            << std::endl;
  bw::waitForStopSignal();
  bw::logEvent(bw::log_event::ProgramStopping);
  Accept.stopAccepting();
  Decide->beginStop();
  Decide->waitUntilDrained();
  Kernel.stop();
  bw::logEvent(bw::log_event::ProgramStopped);
  return EXIT_SUCCESS;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Bramleywinch daemon");
  Program.set_version_flag("--version", BW_VERSION);
  std::string SettingsFile;
  bool IsCheckOnly = false;
  Program.add_option("--settings", SettingsFile, "YAML settings file")
      ->required();
  Program.add_flag("--check", IsCheckOnly,
                   "check the settings and exit without starting");
  CLI11_PARSE(Program, ArgumentCount, Arguments);

  ::mallopt(M_MMAP_THRESHOLD, LargeBlock);
  bw::blockStopSignals();
  bw::startLogging("bramleywinchd");
  try {
    const bw::daemon_settings Settings =
        bw::readDaemonSettings(bw::settings_reader::fromFile(SettingsFile));
    if (IsCheckOnly) {
      std::cout << "settings are valid\n";
      return EXIT_SUCCESS;
    }
    return runDaemon(Settings);
  } catch (const bw::settings_error &Failure) {
    bw::logEvent(bw::log_event::SettingsRefused,
                 {{"file", Failure.file()},
                  {"line", std::to_string(Failure.line())},
                  {"key", Failure.key()},
                  {"reason", Failure.reason()}});
    std::cerr << Failure.what() << "\n";
  } catch (const bw::error &Failure) {
    std::cerr << Failure.what() << "\n";
  }
  return EXIT_FAILURE;
}
