#include "tests/slow_clients/gateway_under_test.h"

#include "platform/wire/wire_names.h"
#include "tests/harness/harness_error.h"
#include "tests/harness/wait_until.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace bw;
using namespace bw::slow_clients;
using namespace std::chrono_literals;

namespace {

const std::string HostName(gateway_under_test::VirtualHost);
const data_centre_id Place("dc-1");

constexpr std::uint16_t CallerPort = 18244;
constexpr std::uint16_t ReadyPort = 18240;
constexpr std::uint16_t ControlPort = 18246;
constexpr std::uint16_t FirstPort = 17680;
constexpr std::uint16_t LastPort = 17695;

constexpr std::size_t OrdinarySize = 1000;
constexpr int CrowdServers = 3;
// No request of a crowd is held back because the servers have no slot.
constexpr slot_count Slots(2000);

gateway_route route(const std::string &Path, const std::string &Service) {
  return {.Id = route_id(Service),
          .VirtualHost = HostName,
          .Prefix = Path,
          .Destinations = {{.Service = service_id(Service)}},
          .Execution = execution_rule::AtMostOnce,
          // As long as the gateway allows a request without a time-out.
          .Timeout = 30s,
          .TargetLatency = {},
          .MaxAttempts = 1};
}

} // namespace

gateway_under_test::gateway_under_test(gateway_limits Limits,
                                       server_conduct Conduct)
    : Address{.Ip = "127." + std::to_string(1 + ::getpid() % 250) + ".77.1",
              .Port = CallerPort},
      Store(Clock) {
  Store.start();
  writeConfiguration(Limits.IdleTimeout);
  replaceOrdinaryServer();
  for (int Index = 1; Index <= CrowdServers; ++Index)
    Servers.push_back(
        addServer("crowd-" + std::to_string(Index), "crowd", Conduct));
  SettingsFile = writeSettings(Limits);
  Process = std::make_unique<harness::child_process>(
      "bramleywinch-gateway",
      std::vector<std::string>{"--settings", SettingsFile});
  const caller_address Readiness{.Ip = Address.Ip, .Port = ReadyPort};
  const std::string Check = std::string("GET ") + platform::ReadinessPath +
                            " HTTP/1.1\r\nHost: x\r\n\r\n";
  const bool IsReady = harness::waitUntil([&] {
    if (!Process->isRunning())
      return true;
    try {
      return isAnswered(Readiness, Check, 0);
    } catch (const harness::harness_error &) {
      return false;
    }
  });
  if (!IsReady || !Process->isRunning())
    throw harness::harness_error("the gateway is not ready: " +
                                 Process->output());
}

gateway_under_test::~gateway_under_test() {
  Process.reset();
  std::error_code Ignored;
  std::filesystem::remove(SettingsFile, Ignored);
}

std::unique_ptr<test_server>
gateway_under_test::addServer(const std::string &Name,
                              const std::string &Service,
                              server_conduct Conduct) {
  const backend_server_id Id(Name);
  auto Server = std::make_unique<test_server>(test_server_options{
      .Server = Id, .Headers = platform::relayHeaders(), .Conduct = Conduct});
  Store.writeServer(
      {.Server = Id,
       .Service = service_id(Service),
       .DataCentre = Place,
       .Address = server_address("127.0.0.1:" + std::to_string(Server->port())),
       .Slots = Slots,
       .Start = server_start(++LastServer)});
  return Server;
}

void gateway_under_test::replaceOrdinaryServer() {
  if (Ordinary)
    Store.removeServer(OrdinaryId);
  Ordinary.reset();
  OrdinaryId = backend_server_id("ordinary-" + std::to_string(LastServer + 1));
  Ordinary = addServer(OrdinaryId.value(), "ordinary", server_conduct::Answers);
}

void gateway_under_test::writeConfiguration(duration IdleTimeout) {
  Store.writeConfiguration(
      {.Version = config_version(1),
       .Limits = {.IdleTimeout = IdleTimeout},
       .Routes = {route("/crowd/", "crowd"), route("/ordinary/", "ordinary")}});
}

std::string gateway_under_test::writeSettings(gateway_limits Limits) const {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("bw-slow-clients-" + std::to_string(::getpid())))
                         .string();
  const platform::platform_settings Settings{
      .Host = host_id("host-1"),
      .DataCentre = Place,
      .Ip = Address.Ip,
      .Callers = {.Ip = Address.Ip, .Port = CallerPort},
      .Readiness = {.Ip = Address.Ip, .Port = ReadyPort},
      .Control = {.Ip = Address.Ip, .Port = ControlPort},
      .Seeds = {{.Ip = Address.Ip, .Port = ControlPort}},
      .FirstInternalPort = FirstPort,
      .LastInternalPort = LastPort,
      .Store = {.Ip = "127.0.0.1", .Port = Store.port()},
      .Memory = Limits.Memory,
      .FileDescriptors = Limits.Descriptors,
      .HeartbeatInterval = 1500ms,
      .DrainBound = 2s,
      .GracePeriod = 6s,
      .RetryRatio = ratio(0.2),
      .RetrySlack = 56,
      .FloorShare = ratio(0.7)};
  std::ofstream(Path) << platform::settingsText(Settings);
  return Path;
}

bool gateway_under_test::answersOnce() const {
  try {
    return isAnswered(Address, request("/ordinary/", OrdinarySize),
                      OrdinarySize);
  } catch (const harness::harness_error &) {
    return false;
  }
}

bool gateway_under_test::answersOrdinaryRequest() const {
  return harness::waitUntil([this] { return answersOnce(); }, 30s);
}

std::string gateway_under_test::request(const std::string &Path,
                                        std::size_t Size) {
  return "GET " + Path + "x/" + std::to_string(Size) +
         " HTTP/1.1\r\nHost: " + HostName + "\r\n" +
         platform::relayHeaders().RequestLabel + ": r\r\n\r\n";
}

std::string gateway_under_test::upload(std::size_t Length, std::size_t Sent) {
  return "POST /crowd/x/10 HTTP/1.1\r\nHost: " + HostName + "\r\n" +
         platform::relayHeaders().RequestLabel +
         ": r\r\nContent-Length: " + std::to_string(Length) + "\r\n\r\n" +
         std::string(Sent, 'b');
}
