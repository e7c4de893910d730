// Tests keys of customers with a fleet of real gateway processes, the emulated
// store and emulated servers. Waits end with a condition; their limit is far
// above what any of them takes.

#include "bw_emulator/servers/emulated_server.h"
#include "platform/emulator/store_service.h"
#include "platform/wire/wire_names.h"
#include "tests/harness/child_process.h"
#include "tests/harness/wait_until.h"
#include "tests/soak/soak_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <set>

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

const service_id Records("records");

// Ports are the same on all hosts, as on the platform; each host has an address
// of its own in 127.0.0.0/8, apart from those of the soak.
constexpr std::uint16_t CallerPort = 18144;
constexpr std::uint16_t ReadyPort = 18140;
constexpr std::uint16_t ControlPort = 18146;
constexpr std::uint16_t FirstPort = 17660;
constexpr std::uint16_t LastPort = 17675;
constexpr int HostCount = 3;
constexpr duration CallLimit = 5s;
constexpr std::chrono::milliseconds WaitLimit = 60s;

constexpr int Served = 200;
constexpr int Unauthenticated = 401;
constexpr int Unavailable = 503;

// All keys contain this text, so that it must not be seen anywhere.
const std::string Secret = "secret-of-";
const std::string CountyKey = Secret + "county-1";
const std::string NewCountyKey = Secret + "county-2";
const std::string StateKey = Secret + "state-1";
const std::string UnknownKey = Secret + "nobody";

using customers = std::vector<platform::written_customer>;

struct fleet_host {
  host_id Id;
  std::string Ip;
  std::string SettingsFile;
  std::unique_ptr<harness::child_process> Process;
};

} // namespace

class customer_keys_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_keys_test);
  CPPUNIT_TEST(requestsAreServedByTheirKeys);
  CPPUNIT_TEST(withdrawnKeysStayRefused);
  CPPUNIT_TEST(movedKeysGetTheNewName);
  CPPUNIT_TEST(aHostThatStartsWithoutTheStoreServesNoWithdrawnKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Folder = std::filesystem::temp_directory_path() /
             ("bw-customer-keys-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Folder);
    Store = std::make_unique<platform::store_service>(Clock);
    Store->start();
    Server = std::make_unique<emulated_server>(
        Clock, emulated_server_options{
                   .Server = backend_server_id("s-1"),
                   .Service = Records,
                   .Headers = Names,
                   .Work = 1ms,
                   .OnArrival = [this](const server_arrival &Each) {
                     const std::lock_guard Guard(Mutex);
                     Arrivals[Each.Label] = Each;
                   }});
    Server->start();
    Store->writeServer({.Server = backend_server_id("s-1"),
                        .Service = Records,
                        .DataCentre = data_centre_id("dc-0"),
                        .Address = server_address(
                            "127.0.0.1:" + std::to_string(Server->port())),
                        .Slots = slot_count(4),
                        .Start = server_start(1)});
    write({{.Name = "county", .Keys = {CountyKey}},
           {.Name = "state", .Keys = {StateKey}}});
    for (int Index = 0; Index < HostCount; ++Index)
      addHost(Index);
    for (const fleet_host &Each : Hosts)
      waitForStatus(Each, CountyKey, Served);
  }

  // No output of a host and no request to a server may contain a key.
  void tearDown() override {
    bool IsLogged = true;
    for (const fleet_host &Each : Hosts) {
      IsLogged = IsLogged && waitForLog(Each);
      keepOutput(Each);
    }
    Hosts.clear();
    Server.reset();
    Store.reset();
    const bool IsInOutput = Output.find(Secret) != std::string::npos;
    bool IsAtServer = false;
    for (const auto &[Label, Arrival] : Arrivals)
      for (const http_header &Field : Arrival.Headers.fields())
        IsAtServer =
            IsAtServer || Field.Value.find(Secret) != std::string::npos;
    Arrivals.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
    CPPUNIT_ASSERT_MESSAGE("a host does not write its log", IsLogged);
    CPPUNIT_ASSERT_MESSAGE("a host has written a key", !IsInOutput);
    CPPUNIT_ASSERT_MESSAGE("a server got a key", !IsAtServer);
  }

  // Guards against requests that are served without a known key or under
  // another name than that of the key.
  void requestsAreServedByTheirKeys() {
    for (const fleet_host &Host : Hosts) {
      CPPUNIT_ASSERT_EQUAL(Served, ask(Host, CountyKey));
      CPPUNIT_ASSERT(namesSeen() == std::vector<std::string>{"county"});
      CPPUNIT_ASSERT_EQUAL(Served, ask(Host, StateKey));
      CPPUNIT_ASSERT(namesSeen() == std::vector<std::string>{"state"});
      for (const std::string &Key : {UnknownKey, std::string()}) {
        CPPUNIT_ASSERT_EQUAL(Unauthenticated, ask(Host, Key));
        CPPUNIT_ASSERT(!hasArrived());
        CPPUNIT_ASSERT_EQUAL(Served, ask(Host, Key, "/open/"));
        CPPUNIT_ASSERT(namesSeen().empty());
      }
      CPPUNIT_ASSERT_EQUAL(Served, ask(Host, StateKey, "/open/"));
      CPPUNIT_ASSERT(namesSeen() == std::vector<std::string>{"state"});
    }
  }

  // Guards against a key that becomes valid again with the start of a host.
  void withdrawnKeysStayRefused() {
    write({{.Name = "county", .Keys = {NewCountyKey}},
           {.Name = "state", .Keys = {StateKey}}});
    for (const fleet_host &Host : Hosts) {
      waitForStatus(Host, CountyKey, Unauthenticated);
      CPPUNIT_ASSERT_EQUAL(Served, ask(Host, NewCountyKey));
    }
    for (fleet_host &Host : Hosts) {
      restart(Host);
      waitForNoService(Host, CountyKey, {Unauthenticated});
      waitForStatus(Host, NewCountyKey, Served);
      CPPUNIT_ASSERT_EQUAL(Unauthenticated, ask(Host, CountyKey));
    }
  }

  // Guards against a key that keeps the name of the customer that had it.
  void movedKeysGetTheNewName() {
    write({{.Name = "county", .Keys = {}},
           {.Name = "state", .Keys = {StateKey, CountyKey}}});
    for (const fleet_host &Host : Hosts) {
      CPPUNIT_ASSERT(harness::waitUntil(
          [&] {
            // The key has one customer at any time.
            CPPUNIT_ASSERT_EQUAL(Served, ask(Host, CountyKey));
            return namesSeen() == std::vector<std::string>{"state"};
          },
          WaitLimit));
      CPPUNIT_ASSERT_EQUAL(Served, ask(Host, CountyKey));
      CPPUNIT_ASSERT(namesSeen() == std::vector<std::string>{"state"});
    }
  }

  // Guards against a final 401 from a host that knows nothing yet, and against
  // a configuration from before the start of a host.
  void aHostThatStartsWithoutTheStoreServesNoWithdrawnKey() {
    write({{.Name = "county", .Keys = {NewCountyKey}}});
    for (const fleet_host &Host : Hosts)
      waitForStatus(Host, CountyKey, Unauthenticated);
    Store->setFaults({.IsSilent = true});
    restart(Hosts[1]);
    waitForNoService(Hosts[1], CountyKey, {Unauthenticated, Unavailable});
    // Another host may lend its configuration; without one, nothing is final.
    const int Status = ask(Hosts[1], NewCountyKey);
    CPPUNIT_ASSERT(Status == Served || Status == Unavailable);

    for (fleet_host &Host : Hosts)
      Host.Process->signal(SIGKILL);
    for (fleet_host &Host : Hosts)
      restart(Host);
    for (const fleet_host &Host : Hosts)
      for (const std::string &Key : {CountyKey, NewCountyKey, UnknownKey})
        waitForNoService(Host, Key, {Unavailable});
    Store->setFaults({});
    for (const fleet_host &Host : Hosts) {
      waitForStatus(Host, NewCountyKey, Served);
      CPPUNIT_ASSERT_EQUAL(Unauthenticated, ask(Host, CountyKey));
    }
  }

private:
  static gateway_route route(const std::string &Prefix, bool IsPublic) {
    return {.Id = route_id("r" + Prefix),
            .VirtualHost = "soak.example",
            .Prefix = Prefix,
            .Destinations = {{.Service = Records}},
            .Execution = execution_rule::Repeatable,
            .Timeout = 3s,
            .TargetLatency = 1s,
            .MaxAttempts = 2,
            .IsPublic = IsPublic};
  }

  void write(const customers &Customers) {
    Version = Version.next();
    Store->writeConfiguration(
        {.Version = Version,
         .Limits = {},
         .Routes = {route("/own/", false), route("/open/", true)}},
        Customers);
  }

  void addHost(int Index) {
    const std::string Prefix =
        "127." + std::to_string(1 + ::getpid() % 250) + ".251.";
    fleet_host Host{.Id = host_id("host-" + std::to_string(Index)),
                    .Ip = Prefix + std::to_string(Index + 1),
                    .SettingsFile = {},
                    .Process = nullptr};
    platform::platform_settings Settings{
        .Host = Host.Id,
        .DataCentre = data_centre_id("dc-" + std::to_string(Index % 2)),
        .Ip = Host.Ip,
        .Callers = {.Ip = Host.Ip, .Port = CallerPort},
        .Readiness = {.Ip = Host.Ip, .Port = ReadyPort},
        .Control = {.Ip = Host.Ip, .Port = ControlPort},
        .Seeds = {},
        .FirstInternalPort = FirstPort,
        .LastInternalPort = LastPort,
        .Store = {.Ip = "127.0.0.1", .Port = Store->port()},
        .ProcessorShare = ratio(0.5),
        .HeartbeatInterval = 1500ms,
        .DrainBound = 2s,
        .GracePeriod = 6s,
        .RetryRatio = ratio(0.2),
        .RetrySlack = 56,
        .FloorShare = ratio(0.7)};
    for (int Seed = 1; Seed <= HostCount; ++Seed)
      Settings.Seeds.push_back(
          {.Ip = Prefix + std::to_string(Seed), .Port = ControlPort});
    Host.SettingsFile = (Folder / Host.Id.value()).string();
    std::ofstream(Host.SettingsFile) << platform::settingsText(Settings);
    start(Host);
    Hosts.push_back(std::move(Host));
  }

  static void start(fleet_host &Host) {
    Host.Process = std::make_unique<harness::child_process>(
        "bramleywinch-gateway",
        std::vector<std::string>{"--settings", Host.SettingsFile});
  }

  void restart(fleet_host &Host) {
    Host.Process->signal(SIGKILL);
    Host.Process->waitForEnd();
    keepOutput(Host);
    start(Host);
  }

  void keepOutput(const fleet_host &Host) { Output += Host.Process->output(); }

  // Hosts gather log lines for some time before they write them.
  bool waitForLog(const fleet_host &Host) {
    ask(Host, UnknownKey);
    const std::string Wanted = "request=" + LastLabel.value() + " ";
    return harness::waitUntil(
        [&] { return Host.Process->output().find(Wanted) != Wanted.npos; },
        WaitLimit);
  }

  // Returns the status of the response; 0 if there is none.
  int ask(const fleet_host &Host, const std::string &Key,
          const std::string &Prefix = "/own/") {
    LastLabel = request_label("r" + std::to_string(++LastNumber));
    const asked_request Request{.Label = LastLabel,
                                .Host = Host.Id,
                                .Method = "GET",
                                .Target = Prefix + "x/10/1",
                                .Body = {},
                                .Key = Key,
                                .IsRepeatable = true};
    caller_connection_client Connection({.Ip = Host.Ip, .Port = CallerPort},
                                        Names);
    if (!Connection.isOpen())
      return 0;
    const seen_answer Answer = Connection.call(Request, CallLimit, Clock);
    return Answer.IsComplete ? Answer.Status : 0;
  }

  bool hasArrived() {
    const std::lock_guard Guard(Mutex);
    return Arrivals.contains(LastLabel);
  }

  // The customer's names that the server got with the last request.
  std::vector<std::string> namesSeen() {
    const std::lock_guard Guard(Mutex);
    std::vector<std::string> Result;
    for (const http_header &Field : Arrivals.at(LastLabel).Headers.fields())
      if (equalsIgnoringCase(Field.Name, Names.Customer))
        Result.push_back(Field.Value);
    return Result;
  }

  void waitForStatus(const fleet_host &Host, const std::string &Key,
                     int Status) {
    CPPUNIT_ASSERT_MESSAGE(
        Host.Id.value() + " does not answer " + std::to_string(Status),
        harness::waitUntil([&] { return ask(Host, Key) == Status; },
                           WaitLimit));
  }

  // Waits for one of the statuses from a host that has just started. Until then
  // the request must get no response or 503.
  void waitForNoService(const fleet_host &Host, const std::string &Key,
                        const std::set<int> &Expected) {
    CPPUNIT_ASSERT_MESSAGE(Host.Id.value() + " does not answer as expected",
                           harness::waitUntil(
                               [&] {
                                 const int Status = ask(Host, Key);
                                 if (Expected.contains(Status))
                                   return true;
                                 CPPUNIT_ASSERT_MESSAGE(
                                     Host.Id.value() + " answers " +
                                         std::to_string(Status),
                                     Status == 0 || Status == Unavailable);
                                 return false;
                               },
                               WaitLimit));
  }

  runtime_clock Clock;
  const relay_headers Names = platform::relayHeaders();
  std::filesystem::path Folder;
  std::unique_ptr<platform::store_service> Store;
  std::unique_ptr<emulated_server> Server;
  std::vector<fleet_host> Hosts;
  config_version Version;
  std::mutex Mutex;
  std::map<request_label, server_arrival> Arrivals;
  request_label LastLabel;
  std::uint64_t LastNumber = 0;
  /// Output of the processes that have ended.
  std::string Output;
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_keys_test);
